/** Branded identifier types, so that the compiler rejects one kind of id in place of another. */

declare const brand: unique symbol;

/** A string type that is not assignable from plain strings or from strings with another brand. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

export type VmId = Branded<'VmId'>;
export type DataCentreId = Branded<'DataCentreId'>;
export type OrganisationId = Branded<'OrganisationId'>;
export type UpstreamId = Branded<'UpstreamId'>;
export type PoolId = Branded<'PoolId'>;
export type RouteId = Branded<'RouteId'>;
export type CellId = Branded<'CellId'>;
export type RequestId = Branded<'RequestId'>;
export type GrantId = Branded<'GrantId'>;
/** Lower-case hexadecimal SHA-256 of a tenant key. */
export type KeyDigest = Branded<'KeyDigest'>;

export const vmId = (value: string): VmId => value as VmId;
export const dataCentreId = (value: string): DataCentreId => value as DataCentreId;
export const organisationId = (value: string): OrganisationId => value as OrganisationId;
export const upstreamId = (value: string): UpstreamId => value as UpstreamId;
export const poolId = (value: string): PoolId => value as PoolId;
export const routeId = (value: string): RouteId => value as RouteId;
export const cellId = (value: string): CellId => value as CellId;
export const requestId = (value: string): RequestId => value as RequestId;
export const grantId = (value: string): GrantId => value as GrantId;
export const keyDigest = (value: string): KeyDigest => value as KeyDigest;
