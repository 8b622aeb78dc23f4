//! `jujubebeam change`

use jujubebeam_core::Revision;
use jujubebeam_operator::api::ChangeRequest;
use jujubebeam_operator::{check_fleet, check_team, render_findings};
use pico_args::Arguments;

use super::arguments::{bad_input, optional, positional, required};
use super::check::read;
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Reads or replaces a whole subtree. `put` checks the file first and applies nothing if it has faults.
The change is refused if the subtree is no longer at the given revision.

USAGE:
    jujubebeam change get    --subtree SUBTREE
    jujubebeam change put    --subtree SUBTREE --file FILE [--revision N]
    jujubebeam change delete --subtree SUBTREE --revision N

OPTIONS:
    --subtree SUBTREE   fleet or teams/TEAM.
    --revision N        Revision that the change is based on; `put` reads it if it is left out.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let action = positional(&mut args, "ACTION")?;
    let subtree: String = required(&mut args, "--subtree")?;
    match action.as_str() {
        "get" => get(&Session::from_args(args)?, &subtree),
        "put" => put(args, &subtree),
        "delete" => {
            let expected = Revision(required(&mut args, "--revision")?);
            let session = Session::from_args(args)?;
            send(&session, &subtree, expected, None)
        }
        other => Err(bad_input(format!("unknown action {other:?}; see `--help`"))),
    }
}

fn get(session: &Session, subtree: &str) -> CliResult {
    let found = session.subtree(subtree)?;
    session
        .output
        .print(&found, |s| format!("# revision {}\n{}", s.revision, s.text));
    Ok(())
}

fn put(mut args: Arguments, subtree: &str) -> CliResult {
    let file: String = required(&mut args, "--file")?;
    let revision: Option<u64> = optional(&mut args, "--revision")?;
    let session = Session::from_args(args)?;
    let text = read(&file)?;
    let findings = if subtree == "fleet" {
        check_fleet(&text).err()
    } else {
        check_team(&text, None).err()
    };
    if let Some(findings) = findings {
        return Err(bad_input(render_findings(&file, &findings)));
    }
    let expected = match revision {
        Some(revision) => Revision(revision),
        None => session.subtree(subtree)?.revision,
    };
    send(&session, subtree, expected, Some(text))
}

fn send(session: &Session, subtree: &str, expected: Revision, text: Option<String>) -> CliResult {
    let accepted = session.change(subtree, &ChangeRequest { expected, text })?;
    session.print_accepted(&accepted);
    Ok(())
}
