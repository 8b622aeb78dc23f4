//! `jujubebeam workspace`

use jujubebeam_core::settings::document::{Priority, WorkspaceDocument};
use jujubebeam_operator::edit::Edit;
use pico_args::Arguments;

use super::arguments::{bad_input, optional, positional, required};
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Lists, shows, creates, changes and deletes workspaces. An edit rewrites the subtree, so comments in
its YAML are lost; use `jujubebeam change` to keep them.

USAGE:
    jujubebeam workspace list   --team TEAM
    jujubebeam workspace show   --team TEAM --workspace NAME
    jujubebeam workspace create --team TEAM --workspace NAME [--priority P] [--weight N]
    jujubebeam workspace set    --team TEAM --workspace NAME [--priority P] [--weight N]
    jujubebeam workspace delete --team TEAM --workspace NAME

OPTIONS:
    --priority P        batch, normal (default), interactive or critical.
    --weight N          Share within the priority; default 1.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let action = positional(&mut args, "ACTION")?;
    let team: String = required(&mut args, "--team")?;
    if action == "list" {
        return list(&Session::from_args(args)?, &team);
    }
    let workspace: String = required(&mut args, "--workspace")?;
    if action == "show" {
        return show(&Session::from_args(args)?, &team, &workspace);
    }
    let priority: Option<Priority> = optional(&mut args, "--priority")?;
    let weight: Option<u32> = optional(&mut args, "--weight")?;
    let edit = match action.as_str() {
        "create" => Edit::CreateWorkspace {
            workspace,
            priority: priority.unwrap_or_default(),
            weight: weight.unwrap_or(1),
        },
        "set" => Edit::SetPriority {
            workspace,
            priority,
            weight,
        },
        "delete" => Edit::DeleteWorkspace { workspace },
        other => return Err(bad_input(format!("unknown action {other:?}; see `--help`"))),
    };
    Session::from_args(args)?.edit_and_print(&team, edit)
}

fn list(session: &Session, team: &str) -> CliResult {
    let (_, document) = session.team(team)?;
    session.output.print(&document.workspaces, |workspaces| {
        let lines: Vec<_> = workspaces.iter().map(summary).collect();
        lines.join("\n")
    });
    Ok(())
}

fn show(session: &Session, team: &str, name: &str) -> CliResult {
    let (_, document) = session.team(team)?;
    let found = document
        .workspaces
        .iter()
        .find(|w| w.name == name)
        .ok_or_else(|| {
            bad_input(format!(
                "workspace {name:?} does not exist in team {team:?}"
            ))
        })?;
    session.output.print(found, |workspace| {
        serde_yaml_ng::to_string(workspace).unwrap_or_default()
    });
    Ok(())
}

fn summary(workspace: &WorkspaceDocument) -> String {
    format!(
        "{}  priority {}  weight {}  keys {}",
        workspace.name,
        workspace.priority,
        workspace.weight,
        workspace.keys.len()
    )
}
