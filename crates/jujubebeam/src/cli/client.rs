//! Talks to the operator API of any vm.

use std::env;
use std::time::{Duration, Instant};

use error_stack::Report;
use jujubebeam_core::Revision;
use jujubebeam_core::settings::document::TeamDocument;
use jujubebeam_http::{HttpClientConfig, build_client};
use jujubebeam_operator::api::{
    ChangeAccepted, ChangeRefused, ChangeRequest, ExplainAnswer, StatusAnswer, Subtree, paths,
    subtree_path,
};
use jujubebeam_operator::edit::{Edit, apply};
use jujubebeam_operator::{parse_team, render_findings};
use ntex::http::Method;
use ntex::time::Millis;
use pico_args::Arguments;
use serde::de::DeserializeOwned;

use super::arguments::{bad_input, finish, optional, output};
use super::failure::{CliResult, Failure};
use super::output::Output;

/// Help for the options of all commands that use the operator API.
pub(crate) const READ_OPTIONS: &str = "\
SHARED OPTIONS:
    --address IP:PORT   Any vm; default is the variable JUJUBEBEAM_ADDRESS.
    --output FORM       text (default) or json.
";
/// Help for the options of commands that change settings.
pub(crate) const WAIT_OPTIONS: &str = concat!(
    "    --wait              Waits until every live vm has the change in force.\n",
    "    --timeout-s N       Longest wait; default 10.\n",
);
/// Help on the operators' key.
pub(crate) const KEY_NOTE: &str =
    "The operators' key is read from the variable JUJUBEBEAM_OPERATOR_KEY.\n";

/// Variable with the address of any vm.
const ADDRESS_VARIABLE: &str = "JUJUBEBEAM_ADDRESS";
/// Variable with the operators' key. A command line option would show it to other users.
const KEY_VARIABLE: &str = "JUJUBEBEAM_OPERATOR_KEY";
const CALL_TIMEOUT: Millis = Millis(5_000);
const WAIT_POLL: Duration = Duration::from_millis(100);
const DEFAULT_WAIT_S: u64 = 10;

/// How to reach the system and what to do after a change.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    address: String,
    key: String,
    /// Form of the output.
    pub(crate) output: Output,
    wait: bool,
    timeout: Duration,
}

impl Session {
    /// Reads the shared options. All other options must have been read before.
    pub(crate) fn from_args(mut args: Arguments) -> CliResult<Self> {
        let address = optional(&mut args, "--address")?
            .or_else(|| env::var(ADDRESS_VARIABLE).ok())
            .ok_or_else(|| {
                bad_input(format!(
                    "pass `--address IP:PORT` or set {ADDRESS_VARIABLE}"
                ))
            })?;
        let output = output(&mut args)?;
        let wait = args.contains("--wait");
        let timeout_s = optional(&mut args, "--timeout-s")?.unwrap_or(DEFAULT_WAIT_S);
        finish(args)?;
        Ok(Self {
            address,
            key: env::var(KEY_VARIABLE).unwrap_or_default(),
            output,
            wait,
            timeout: Duration::from_secs(timeout_s),
        })
    }

    /// Reads a subtree.
    pub(crate) fn subtree(&self, name: &str) -> CliResult<Subtree> {
        self.call(Method::GET, subtree_path(name), None)
    }

    /// Reads and parses the subtree of a team.
    pub(crate) fn team(&self, team: &str) -> CliResult<(Subtree, TeamDocument)> {
        let subtree = self.subtree(&format!("teams/{team}"))?;
        let document = parse_team(&subtree.text).map_err(|e| {
            Report::new(Failure::Failed).attach(format!("subtree {}: {e}", subtree.name))
        })?;
        Ok((subtree, document))
    }

    /// Replaces or deletes a subtree.
    pub(crate) fn change(&self, name: &str, request: &ChangeRequest) -> CliResult<ChangeAccepted> {
        let accepted: ChangeAccepted =
            self.call(Method::PUT, subtree_path(name), Some(request.clone()))?;
        if self.wait {
            self.wait_in_force(&accepted)?;
        }
        Ok(accepted)
    }

    /// Applies an edit to the subtree of a team.
    pub(crate) fn edit(&self, team: &str, edit: Edit) -> CliResult<ChangeAccepted> {
        let (subtree, mut document) = self.team(team)?;
        apply(&mut document, edit).map_err(|e| bad_input(e.to_string()))?;
        let text = serde_yaml_ng::to_string(&document)
            .map_err(|e| Report::new(Failure::Failed).attach(e.to_string()))?;
        let request = ChangeRequest {
            expected: subtree.revision,
            text: Some(text),
        };
        self.change(&subtree.name, &request)
    }

    /// Applies an edit and prints the revision of the change.
    pub(crate) fn edit_and_print(&self, team: &str, edit: Edit) -> CliResult {
        let accepted = self.edit(team, edit)?;
        self.print_accepted(&accepted);
        Ok(())
    }

    /// Prints the revision of a change.
    pub(crate) fn print_accepted(&self, accepted: &ChangeAccepted) {
        let state = if self.wait { "in force" } else { "accepted" };
        self.output.print(accepted, |a| {
            format!("{}: revision {} is {state}", a.name, a.revision)
        });
    }

    /// Reads the status of the system.
    pub(crate) fn status(&self) -> CliResult<StatusAnswer> {
        self.call(Method::GET, paths::STATUS.to_owned(), None)
    }

    /// Reads which vms have a subtree in force.
    fn status_of(&self, subtree: &str) -> CliResult<StatusAnswer> {
        let path = format!("{}?subtree={subtree}", paths::STATUS);
        self.call(Method::GET, path, None)
    }

    /// Reads the decisions about a request.
    pub(crate) fn explain(&self, request: &str) -> CliResult<ExplainAnswer> {
        let path = format!("{}/{request}", paths::EXPLAIN);
        self.call(Method::GET, path, None)
    }

    fn wait_in_force(&self, accepted: &ChangeAccepted) -> CliResult {
        let deadline = Instant::now() + self.timeout;
        loop {
            let missing = missing_vms(&self.status_of(&accepted.name)?, accepted);
            if missing.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Report::new(Failure::WaitTimedOut).attach(format!(
                    "{}: revision {} is not yet in force on {}; ask `jujubebeam status`",
                    accepted.name,
                    accepted.revision,
                    missing.join(", ")
                )));
            }
            std::thread::sleep(WAIT_POLL);
        }
    }

    fn call<T: DeserializeOwned + 'static>(
        &self,
        method: Method,
        path: String,
        body: Option<ChangeRequest>,
    ) -> CliResult<T> {
        let session = self.clone();
        let system = ntex::rt::System::build()
            .name("client")
            .build(ntex::rt::DefaultRuntime);
        system.block_on(async move { session.send(method, &path, body.as_ref()).await })
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&ChangeRequest>,
    ) -> CliResult<T> {
        let client = build_client(HttpClientConfig::default()).await;
        let request = client
            .request(method, format!("http://{}{path}", self.address))
            .bearer_auth(&self.key)
            .timeout(CALL_TIMEOUT);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|e| self.unreachable(&e.to_string()))?;
        let status = response.status();
        let bytes = response
            .body()
            .await
            .map_err(|e| self.unreachable(&e.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&bytes)
                .map_err(|e| Report::new(Failure::Failed).attach(e.to_string()));
        }
        Err(refusal(status.as_u16(), &bytes))
    }

    fn unreachable(&self, reason: &str) -> Report<Failure> {
        Report::new(Failure::Unreachable).attach(format!(
            "{}: {reason}; try the address of another vm",
            self.address
        ))
    }
}

fn missing_vms(status: &StatusAnswer, accepted: &ChangeAccepted) -> Vec<String> {
    status
        .vms
        .iter()
        .filter(|vm| vm.state == "live")
        .filter(|vm| in_force(vm.in_force.iter(), &accepted.name) < accepted.revision)
        .map(|vm| format!("vm {}", vm.vm))
        .collect()
}

fn in_force<'a>(
    mut list: impl Iterator<Item = &'a jujubebeam_operator::api::InForce>,
    name: &str,
) -> Revision {
    list.find(|s| s.name == name)
        .map_or(Revision(0), |s| s.revision)
}

fn refusal(status: u16, bytes: &[u8]) -> Report<Failure> {
    match serde_json::from_slice::<ChangeRefused>(bytes) {
        Ok(ChangeRefused::Conflict { current, remedy }) => {
            Report::new(Failure::Conflict).attach(format!(
                "{} is now at revision {}; {remedy}",
                current.name, current.revision
            ))
        }
        Ok(ChangeRefused::Invalid { findings }) => bad_input(render_findings("change", &findings)),
        Ok(ChangeRefused::NotAccepted { message, remedy }) => {
            Report::new(Failure::Failed).attach(format!("{message}; {remedy}"))
        }
        Ok(ChangeRefused::Unknown { remedy }) => Report::new(Failure::Failed).attach(format!(
            "the store did not say whether the change took effect; {remedy}"
        )),
        Err(_) => Report::new(Failure::Failed).attach(format!(
            "status {status}: {}",
            String::from_utf8_lossy(bytes)
        )),
    }
}
