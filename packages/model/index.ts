/**
 * The domain's shared types and the ports that every decision uses.
 *
 * @module
 */
export * from "./backend_servers.ts";
export * from "./calls.ts";
export * from "./clock.ts";
export * from "./document.ts";
export * from "./headers.ts";
export * from "./host_routes.ts";
export * from "./hosts.ts";
export * from "./outcomes.ts";
export * from "./randomness.ts";
export * from "./rendezvous.ts";
