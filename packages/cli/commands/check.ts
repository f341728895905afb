import { readFile } from "node:fs/promises";
import { basename, extname } from "node:path";
import { Command, Option } from "clipanion";
import {
  type DocumentFault,
  formatFault,
  mergeSections,
  parseSection,
  type Section,
  SYSTEM_SECTION,
} from "#document";
import { type CliContext, createLogger } from "../context.ts";
import { EXIT } from "../exit_codes.ts";
import { formatJson } from "../output.ts";

/** `mangobank check FILE...` */
export class CheckCommand extends Command<CliContext> {
  static override paths = [["check"]];

  static override usage = Command.Usage({
    category: "Document",
    description: "Check sections offline",
    details: `
      Reads each file as the section that is named like the file without its
      extension, and prints all errors with file, line and key. If
      \`system.yaml\` is among the files, the sections are also checked against
      each other.

      Exit codes: 0 valid, 2 invalid.
    `,
    examples: [
      ["Check a whole document", "mangobank check sections/*.yaml"],
      ["Check one section alone", "mangobank check alloc.yaml"],
    ],
  });

  readonly files = Option.Rest({ required: 1, name: "FILE" });

  readonly json = Option.Boolean("--json", false, {
    description: "Print JSON for programs",
  });

  override async execute(): Promise<number> {
    const { stdout } = this.context;
    const sections: Section[] = [];
    const faults: DocumentFault[] = [];
    for (const file of this.files) {
      const result = await readSection(file);
      if (Array.isArray(result)) faults.push(...result);
      else sections.push(result);
    }
    const hasSystemSection = sections.some(({ kind }) => kind === "system");
    if (faults.length === 0 && hasSystemSection) {
      mergeSections(sections).mapErr((found) => faults.push(...found));
    }
    const valid = faults.length === 0;
    const count = sections.length;
    if (this.json) {
      stdout.write(
        formatJson({ valid, whole_document: hasSystemSection, faults }),
      );
    } else if (valid) {
      stdout.write(`${count} ${count === 1 ? "section" : "sections"} valid\n`);
    } else for (const fault of faults) stdout.write(`${formatFault(fault)}\n`);
    if (valid && !hasSystemSection) {
      createLogger(this.context).warn(
        `each section was checked alone; add ${SYSTEM_SECTION}.yaml to check them together`,
      );
    }
    return valid ? EXIT.done : EXIT.invalid;
  }
}

async function readSection(file: string): Promise<Section | DocumentFault[]> {
  const name = basename(file, extname(file));
  try {
    const text = await readFile(file, "utf8");
    const parsed = parseSection({ name, text, file });
    return parsed.isOk() ? parsed.value : parsed.error;
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    const place = { file, line: 1, key: "" };
    const expected = "a readable file";
    return [{ type: "unreadable_file", ...place, expected, found }];
  }
}
