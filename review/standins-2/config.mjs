/** Parts of the operator's config of a small deployment. */
export const HOST = 'service.example'

export function configOf ({ version, routes, services, tenants }) {
  return {
    version,
    routes,
    services,
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants
  }
}

/** A route to a plain service; `kind` is `safe` or `unsafe`. */
export function plainRoute (kind, prefix, service) {
  return {
    name: `r-${service}`,
    host: HOST,
    path_prefix: prefix,
    kind,
    timeout_ms: 2_000,
    target_latency_ms: 300,
    priority: 2,
    service,
    max_attempts: kind === 'safe' ? 2 : 1,
    public: false
  }
}

/** A route of streams that may be resumed. */
export function streamRoute (prefix, service) {
  return {
    ...plainRoute('streaming', prefix, service),
    timeout_ms: 6_000,
    target_latency_ms: 600,
    priority: 1,
    max_attempts: 2,
    sticky: true,
    resumable: true,
    gap_target_ms: 300
  }
}

export function plainService (name) {
  return { name, health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }
}

export function modelService (name, model) {
  const engine = {
    slots: 48,
    kv_capacity_tokens: 49_197,
    kv_token_bytes: 327_680,
    link_mbps: 370_000,
    moves: true,
    backups: true,
    managed: true,
    stride: 4,
    max_inflight: 12,
    models: [{ name: model }]
  }
  return { name, health_path: '/health', max_conns: 300, protocol: 'h1', tls: false, engine }
}

export function cacheService (name, address, zone) {
  return {
    name,
    kv_store_addr: address,
    zone,
    kv_capacity_tokens: 1_342_145,
    link_mbps: 390_000,
    max_inflight: 12,
    managed: true,
    first_ms: 0.5
  }
}
