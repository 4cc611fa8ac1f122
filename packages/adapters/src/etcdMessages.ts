/**
 * Messages of the etcd v3 API in its JSON mapping (gRPC gateway, `/v3/...`): keys and values in base64,
 * 64-bit integers as strings. Source: the etcd v3 API reference, "gRPC gateway".
 */

export interface EtcdHeader { readonly revision: string }

export interface EtcdKeyValue {
  readonly key: string
  readonly value?: string
  readonly create_revision: string
  readonly mod_revision: string
  readonly lease?: string
}

export interface EtcdRangeRequest { readonly key: string, readonly range_end?: string }
export interface EtcdRangeResponse { readonly header: EtcdHeader, readonly kvs?: readonly EtcdKeyValue[], readonly count?: string }
export interface EtcdPutRequest { readonly key: string, readonly value: string, readonly lease?: string }
export interface EtcdDeleteRequest { readonly key: string, readonly range_end?: string }

export interface EtcdCompare {
  readonly target: 'MOD'
  readonly result: 'EQUAL'
  readonly key: string
  readonly mod_revision: string
}

export type EtcdRequestOp =
  | { readonly request_range: EtcdRangeRequest }
  | { readonly request_put: EtcdPutRequest }
  | { readonly request_delete_range: EtcdDeleteRequest }
  | { readonly request_txn: EtcdTxnRequest }

export interface EtcdTxnRequest {
  readonly compare?: readonly EtcdCompare[]
  readonly success?: readonly EtcdRequestOp[]
  readonly failure?: readonly EtcdRequestOp[]
}

export type EtcdResponseOp =
  | { readonly response_range: EtcdRangeResponse }
  | { readonly response_put: { readonly header: EtcdHeader } }
  | { readonly response_delete_range: { readonly header: EtcdHeader, readonly deleted?: string } }
  | { readonly response_txn: EtcdTxnResponse }

export interface EtcdTxnResponse {
  readonly header: EtcdHeader
  readonly succeeded?: boolean
  readonly responses?: readonly EtcdResponseOp[]
}

export interface EtcdLeaseResponse { readonly header?: EtcdHeader, readonly ID: string, readonly TTL?: string, readonly error?: string }

export interface EtcdWatchEvent { readonly type?: 'PUT' | 'DELETE', readonly kv: EtcdKeyValue }
export interface EtcdWatchResponse {
  readonly header: EtcdHeader
  readonly created?: boolean
  readonly canceled?: boolean
  readonly compact_revision?: string
  readonly events?: readonly EtcdWatchEvent[]
}

/** HTTP paths of the etcd v3 API that the store adapter calls. */
export const EtcdPath = {
  range: '/v3/kv/range',
  txn: '/v3/kv/txn',
  grant: '/v3/lease/grant',
  keepAlive: '/v3/lease/keepalive',
  revoke: '/v3/lease/revoke',
  watch: '/v3/watch'
} as const

/** Encodes a key or value for the API: base64 of its UTF-8 bytes. */
export function encodeBytes (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Decodes a key or value of the API from base64 to text. */
export function decodeBytes (encoded: string): string {
  return Buffer.from(encoded, 'base64').toString('utf8')
}

/** Returns the `range_end` of the range of all keys with this prefix: the first key after the range, in base64. */
export function encodePrefixEnd (prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8')
  const last = bytes.length - 1
  bytes[last] = (bytes[last] ?? 0) + 1
  return bytes.toString('base64')
}
