import { Command, Option, UsageError } from "clipanion";
import { v7 as createChangeId, validate as isUuid } from "uuid";
import { createLogger } from "../context.ts";
import { EXIT } from "../exit_codes.ts";
import { formatJson, formatTable } from "../output.ts";
import { ReadCommand, RemoteCommand, readTextFile } from "./remote.ts";

interface SectionResponse {
  readonly section: string;
  readonly revision: number;
  readonly document_revision: number;
  readonly team: string;
  readonly at: string;
  readonly text: string;
}

/** `mangobank put SECTION FILE` */
export class PutCommand extends RemoteCommand {
  static override paths = [["put"]];

  static override usage = Command.Usage({
    category: "Document",
    description: "Replace a section",
    details: `
      Sends the file as the new text of the section. The change is accepted
      only if the section still has the revision that you started from; \`get\`
      prints it. Use 0 for a section that has no text yet. The command returns
      once a majority of entries has the change in force.

      If the result is unknown (exit code 6), run the same command again with
      the printed change id: it is then made at most once.

      Exit codes: 0 accepted, 2 invalid, 3 conflict, 4 not allowed, 5 no answer
      and nothing done, 6 result unknown, 8 refused.
    `,
    examples: [
      [
        "Replace the section alloc, read at revision 3",
        "mangobank put alloc alloc.yaml --revision 3 --control 10.0.0.1:9001 --credential-file team.key",
      ],
    ],
  });

  readonly section = Option.String({ name: "SECTION" });
  readonly file = Option.String({ name: "FILE" });

  readonly revision = Option.String("--revision", {
    description: "Revision of the section that you started from",
    required: true,
  });

  readonly changeId = Option.String("--change-id", {
    description: "UUID of a change whose result is unknown",
  });

  override async execute(): Promise<number> {
    if (!/^\d{1,15}$/.test(this.revision)) {
      throw new UsageError("--revision needs a whole number");
    }
    const changeId = this.changeId ?? createChangeId();
    if (!isUuid(changeId)) throw new UsageError("--change-id needs a UUID");
    const text = await readTextFile(this.file);
    const client = await this.createClient();
    const revision = Number(this.revision);
    const result = await client.put(this.section, { text, revision, changeId });
    const code = this.printResult<{
      section_revision: number;
      document_revision: number;
    }>(
      result,
      (answer) =>
        `accepted: ${this.section} is at revision ${answer.section_revision}, the document at ${answer.document_revision}\n`,
    );
    if (code === EXIT.result_unknown) {
      createLogger(this.context).info(
        `run it again with --change-id ${changeId}`,
      );
    }
    return code;
  }
}

/** `mangobank get SECTION` */
export class GetCommand extends ReadCommand {
  static override paths = [["get"]];

  static override usage = Command.Usage({
    category: "Document",
    description: "Print a section",
    details: `
      Prints the text of the section on standard output and its revision on
      standard error, so that the text can go to a file.

      Exit codes: 0 printed, 4 not allowed, 5 no answer, 7 no such section.
    `,
    examples: [
      [
        "Save the section alloc",
        "mangobank get alloc --control 10.0.0.1:9001 --credential-file team.key > alloc.yaml",
      ],
    ],
  });

  readonly section = Option.String({ name: "SECTION" });

  override async execute(): Promise<number> {
    const client = await this.createClient();
    const path = ["sections", this.section];
    const result = await client.read(path, { stale: this.stale });
    if (result.isErr()) return this.printFault(result.error);
    const answer = result.value as SectionResponse;
    const { stdout } = this.context;
    stdout.write(this.json ? formatJson(answer) : answer.text);
    createLogger(this.context).info(
      `${answer.section} is at revision ${answer.revision}`,
    );
    return EXIT.done;
  }
}

/** `mangobank history SECTION` */
export class HistoryCommand extends ReadCommand {
  static override paths = [["history"]];

  static override usage = Command.Usage({
    category: "Document",
    description: "List the kept revisions of a section",
    details: `
      Lists the revisions of a section, oldest first. With \`--json\` each has
      its text. The last 100 revisions are kept, fewer where texts are long.

      Exit codes: 0 printed, 4 not allowed, 5 no answer, 7 no such section.
    `,
  });

  readonly section = Option.String({ name: "SECTION" });

  override async execute(): Promise<number> {
    return this.readAndPrint<{ revisions: SectionResponse[] }>(
      ["sections", this.section, "history"],
      ({ revisions }) =>
        formatTable(
          ["REVISION", "DOCUMENT", "AT", "TEAM", "CHARACTERS"],
          revisions.map((revision) => [
            revision.revision,
            revision.document_revision,
            revision.at,
            revision.team,
            revision.text.length,
          ]),
        ),
    );
  }
}
