//! `jujubebeam status`

use jujubebeam_operator::api::StatusAnswer;
use pico_args::Arguments;

use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Shows all vms with their settings in force, and the targets as the asked vm sees them.

USAGE:
    jujubebeam status
";

/// Runs the command.
pub(crate) fn run(args: Arguments) -> CliResult {
    let session = Session::from_args(args)?;
    let status = session.status()?;
    session.output.print(&status, render);
    Ok(())
}

fn render(status: &StatusAnswer) -> String {
    let mut lines = vec![format!(
        "vm {}: settings {} ({} ms old), invariant violations {}",
        status.vm,
        if status.fresh { "fresh" } else { "stale" },
        status.settings_age_ms,
        status.violations
    )];
    for vm in &status.vms {
        let in_force: Vec<_> = vm
            .in_force
            .iter()
            .map(|s| format!("{}@{}", s.name, s.revision))
            .collect();
        lines.push(format!(
            "vm {}  zone {}  {}  {}",
            vm.vm,
            vm.zone,
            vm.state,
            in_force.join(" ")
        ));
    }
    for target in &status.targets {
        let mut line = format!(
            "target {}  zone {}  {}  role {}  running {}",
            target.target, target.zone, target.state, target.role, target.running_requests
        );
        if !target.change.is_empty() {
            line.push_str(&format!("  change {}", target.change));
        }
        lines.push(line);
    }
    lines.join("\n")
}
