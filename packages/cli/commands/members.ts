import { Command, Option } from "clipanion";
import { formatTable } from "../output.ts";
import { parseAddress, ReadCommand, RemoteCommand } from "./remote.ts";

interface MembersResponse {
  readonly members: readonly {
    readonly id: string;
    readonly role: string;
    readonly peer?: { readonly host: string; readonly port: number };
  }[];
}

function formatMembers({ members }: MembersResponse): string {
  const rows = members.map(({ id, role, peer }) => {
    return [id, role, peer ? `${peer.host}:${peer.port}` : "-"];
  });
  return formatTable(["ID", "ROLE", "PEER"], rows);
}

const EXIT_CODES_HELP = `
  Exit codes: 0 done, 4 not allowed, 5 no answer and nothing done, 6 result
  unknown (run it again), 8 refused as unsafe.
`;

/** `mangobank members` */
export class MembersCommand extends ReadCommand {
  static override paths = [["members"], ["members", "list"]];

  static override usage = Command.Usage({
    category: "Members",
    description: "List the control hosts that agree on the log",
    details: "Exit codes: 0 printed, 4 not allowed, 5 no answer.",
  });

  override execute(): Promise<number> {
    return this.readAndPrint<MembersResponse>(["members"], formatMembers);
  }
}

/** `mangobank members add ID HOST:PORT` */
export class AddMemberCommand extends RemoteCommand {
  static override paths = [["members", "add"]];

  static override usage = Command.Usage({
    category: "Members",
    description: "Add a control host",
    details: `
      Adds a control host by its id and peer address. It must run with an empty
      data folder; it learns the log before it votes. Needs the system
      credential.

      ${EXIT_CODES_HELP}
    `,
  });

  readonly id = Option.String({ name: "ID" });
  readonly peer = Option.String({ name: "HOST:PORT" });

  override async execute(): Promise<number> {
    const peer = parseAddress(this.peer);
    const client = await this.createClient();
    const result = await client.addMember(this.id, peer);
    return this.printResult<MembersResponse>(result, formatMembers);
  }
}

/** `mangobank members remove ID` */
export class RemoveMemberCommand extends RemoteCommand {
  static override paths = [["members", "remove"]];

  static override usage = Command.Usage({
    category: "Members",
    description: "Remove a control host",
    details: `
      Removes a control host. Its id and its data folder must not be used
      again. Needs the system credential.

      ${EXIT_CODES_HELP}
    `,
  });

  readonly id = Option.String({ name: "ID" });

  override async execute(): Promise<number> {
    const client = await this.createClient();
    const result = await client.removeMember(this.id);
    return this.printResult<MembersResponse>(result, formatMembers);
  }
}
