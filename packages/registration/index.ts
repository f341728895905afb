/**
 * Carries out the effects of service registration over the network, for every
 * role that takes part in it.
 *
 * @module
 */
export * from "./identity_check.ts";
export * from "./registrations.ts";
