//! `jujubebeam key`

use jujubebeam_core::settings::KeyHash;
use jujubebeam_operator::edit::Edit;
use pico_args::Arguments;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use serde::Serialize;

use super::arguments::{bad_input, finish, output, positional, required};
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Creates, withdraws and hashes keys. A key is printed once, when it is created; settings hold only
its hash.

USAGE:
    jujubebeam key create   --team TEAM --workspace NAME --name KEY_NAME
    jujubebeam key withdraw --team TEAM --workspace NAME --name KEY_NAME
    jujubebeam key hash     < FILE_WITH_KEY
";

const KEY_BYTES: usize = 32;

#[derive(Serialize)]
struct Created {
    key: String,
    revision: u64,
}

#[derive(Serialize)]
struct Hashed {
    sha256: String,
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let action = positional(&mut args, "ACTION")?;
    if action == "hash" {
        return hash(args);
    }
    let team: String = required(&mut args, "--team")?;
    let workspace: String = required(&mut args, "--workspace")?;
    let name: String = required(&mut args, "--name")?;
    match action.as_str() {
        "create" => create(&Session::from_args(args)?, &team, workspace, name),
        "withdraw" => {
            let edit = Edit::WithdrawKey {
                workspace,
                key: name,
            };
            Session::from_args(args)?.edit_and_print(&team, edit)
        }
        other => Err(bad_input(format!("unknown action {other:?}; see `--help`"))),
    }
}

fn create(session: &Session, team: &str, workspace: String, name: String) -> CliResult {
    let key = new_key();
    let edit = Edit::AddKey {
        workspace,
        key: name,
        hash: KeyHash::of_key(&key),
    };
    let accepted = session.edit(team, edit)?;
    let created = Created {
        key,
        revision: accepted.revision.0,
    };
    session.output.print(&created, |c| {
        format!(
            "{}\nrevision {}; the key is not shown again",
            c.key, c.revision
        )
    });
    Ok(())
}

fn hash(mut args: Arguments) -> CliResult {
    let output = output(&mut args)?;
    finish(args)?;
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .map_err(|e| bad_input(format!("standard input: {e}")))?;
    let key = line.trim();
    if key.is_empty() {
        return Err(bad_input("standard input has no key; pass it as one line"));
    }
    let hashed = Hashed {
        sha256: KeyHash::of_key(key).to_hex(),
    };
    output.print(&hashed, |h| h.sha256.clone());
    Ok(())
}

fn new_key() -> String {
    let mut bytes = [0u8; KEY_BYTES];
    StdRng::from_os_rng().fill_bytes(&mut bytes);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    format!("jbk-{hex}")
}
