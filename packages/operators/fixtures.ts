import { after } from "node:test";
import { err, ok } from "neverthrow";
import { type Address, ManualClock } from "#model";
import { Registry } from "#registry";
import type { HttpServer } from "#wire";
import { OperatorApi } from "./api.ts";
import { hashCredential } from "./authentication.ts";
import type { LogFault, Member, MemberChangeFault } from "./ports.ts";
import { createOperatorServer } from "./server.ts";

/** Text of a `system` section with two teams. */
export const SYSTEM_TEXT = `regions: { lv-central: [riga-a] }
teams:
  alloc-team: { credential_sha256: "${hashCredential("alloc-secret")}" }
  report-team: { credential_sha256: "${hashCredential("report-secret")}" }
sections: { alloc: alloc-team, report: report-team }
`;
/** A valid change id. */
export const CHANGE_ID = "0190c9a4-7b6e-7cc3-98c4-dc0c0c07398f";

/** A control host for tests, whose log applies commands at once. */
export class TestControlHost {
  readonly registry: Registry;
  submitFault: LogFault | undefined;
  readFault: LogFault | undefined;
  /** Whether commands are applied but answered with `result_unknown`. */
  loseResponse = false;
  inForce = true;
  submitCount = 0;
  memberFault: MemberChangeFault | undefined;
  members: Member[] = [
    { id: "c1", peer: { host: "127.0.0.1", port: 1 }, role: "voter" },
  ];
  readonly failures: unknown[] = [];
  readonly server: HttpServer;

  constructor(registry = new Registry()) {
    this.registry = registry;
    const api = new OperatorApi({
      log: {
        submit: async (command) => {
          this.submitCount++;
          if (this.submitFault !== undefined) return err(this.submitFault);
          const reply = registry.apply(command);
          return this.loseResponse
            ? err({ type: "result_unknown" })
            : ok(reply);
        },
        confirm: async () => {
          return this.readFault === undefined ? ok(1) : err(this.readFault);
        },
      },
      registry,
      live: {
        hosts: async () => [
          {
            id: "e1",
            role: "entry",
            peer: { host: "127.0.0.1", port: 2 },
            state: "ready",
            version: 0,
            laggingSince: Date.parse("2026-12-04T02:00:00Z"),
          },
        ],
        servers: () => Promise.reject(new Error("planted")),
        leader: () => "c1",
      },
      rollout: { inForce: async () => this.inForce },
      members: {
        list: () => this.members,
        change: async (change) => {
          if (this.memberFault !== undefined) return err(this.memberFault);
          const others = this.members.filter(({ id }) => id !== change.id);
          const { id } = change;
          this.members =
            change.type === "remove"
              ? others
              : [...others, { id, peer: change.peer, role: "voter" }];
          return ok(undefined);
        },
      },
      clock: new ManualClock(),
      systemCredentialSha256: hashCredential("system-secret"),
      bodyMaxBytes: 2_048,
      onFailure: (error) => this.failures.push(error),
    });
    this.server = createOperatorServer(api.handle, {
      headerMaxBytes: 2_048,
      requestTimeoutMs: 300,
      connectionsMax: 16,
    });
    after(() => {
      this.server.destroy();
    });
  }

  async listen(): Promise<Address> {
    const listening = await this.server.listen({ host: "127.0.0.1", port: 0 });
    return listening._unsafeUnwrap();
  }
}
