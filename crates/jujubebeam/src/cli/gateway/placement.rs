//! `jujubebeam gateway where`

use std::fmt::Write;
use std::time::Duration;

use error_stack::Report;
use jujubebeam_http::{CallError, HttpClientConfig, JsonClient, build_client};
use pico_args::Arguments;
use serde_json::Value;

use crate::cli::arguments::{bad_input, finish, optional, output, required};
use crate::cli::failure::{CliResult, Failure};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the command.
pub(super) fn run(mut args: Arguments) -> CliResult {
    let address: String = required(&mut args, "--metrics")?;
    let mut query = String::new();
    for (option, name, is_required) in [
        ("--host", "host", true),
        ("--path", "path", true),
        ("--service", "service", false),
        ("--parts", "parts", false),
        ("--output-tokens", "output_tokens", false),
    ] {
        let value: Option<String> = match is_required {
            true => Some(required(&mut args, option)?),
            false => optional(&mut args, option)?,
        };
        if let Some(value) = value {
            let separator = if query.is_empty() { '?' } else { '&' };
            query.push(separator);
            query.push_str(name);
            query.push('=');
            push_escaped(&mut query, &value);
        }
    }
    let output = output(&mut args)?;
    finish(args)?;
    let answer = ask(address, format!("/placement{query}"))?;
    output.print(&answer, render);
    Ok(())
}

fn ask(address: String, path: String) -> CliResult<Value> {
    let system = ntex::rt::System::build()
        .name("client")
        .build(ntex::rt::DefaultRuntime);
    let asked = address.clone();
    let answer = system.block_on(async move {
        let client = build_client(HttpClientConfig::default()).await;
        let client = JsonClient::new(client, &asked, CALL_TIMEOUT);
        client.get::<Value>(&path).await
    });
    answer
        .map(|answer| answer.body)
        .map_err(|error| match error {
            CallError::Status {
                code: 400, body, ..
            } => bad_input(body.trim_end().to_owned()),
            CallError::Status { code, .. } => Report::new(Failure::Failed).attach(format!(
                "{address}: status {code}; use the address for metrics of a gateway of this version"
            )),
            error => Report::new(Failure::Unreachable).attach(format!("{address}: {error}")),
        })
}

/// Appends a value with the escapes of a query.
fn push_escaped(query: &mut String, value: &str) {
    for byte in value.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' | b':' => {
                query.push(char::from(byte));
            }
            _ => query.push_str(&format!("%{byte:02X}")),
        }
    }
}

fn render(answer: &Value) -> String {
    let mut text = fields(answer, &["prompt", "answer", "refused"]);
    for name in ["prompt", "answer"] {
        let choice = &answer[name];
        if choice.is_null() {
            continue;
        }
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "\n{name}: {}",
            fields(choice, &["candidates", "omitted"])
        );
        if choice["is_from_decider"] == false {
            text.push_str(
                "\n  another vm decides; these are the estimates of the vm that was asked",
            );
        }
        for list in ["candidates", "omitted"] {
            for entry in choice[list].as_array().into_iter().flatten() {
                let _ = write!(text, "\n  {list}  {}", fields(entry, &[]));
            }
        }
    }
    if !answer["refused"].is_null() {
        let _ = write!(text, "\nrefused: {}", fields(&answer["refused"], &[]));
    }
    text
}

/// The fields of an object on one line, except those that are null or listed.
fn fields(object: &Value, except: &[&str]) -> String {
    let shown = object.as_object().into_iter().flatten();
    let shown = shown.filter(|(name, value)| !value.is_null() && !except.contains(&name.as_str()));
    let shown: Vec<_> = shown
        .map(|(name, value)| match value.as_f64() {
            Some(number) if value.is_f64() => format!("{name}={number:.1}"),
            _ => format!("{name}={value}"),
        })
        .collect();
    shown.join(" ")
}
