//! Sets faults of a running stand-in by hand.

use std::time::Duration;

use jujubebeam_http::{HttpClientConfig, JsonClient, build_client};
use ntex::http::Method;
use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::control::{FAULTS_PATH, RECORDS_PATH};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `fault --address IP:PORT [--clear] [--records] [NAME=VALUE]...` and prints the answer.
pub(crate) fn run(mut args: Arguments) -> Result<(), String> {
    let address: String = args
        .value_from_str("--address")
        .map_err(|e| e.to_string())?;
    let (clear, records) = (args.contains("--clear"), args.contains("--records"));
    let change = parse_change(args)?;
    let system = ntex::rt::System::build()
        .name("fault")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = build_client(HttpClientConfig::default()).await;
        let json = JsonClient::new(client, &address, CALL_TIMEOUT);
        let call = async |method, path, body: Option<&Value>| {
            json.call::<_, Value>(method, path, body)
                .await
                .map_err(|e| e.to_string())
        };
        if clear {
            call(Method::DELETE, FAULTS_PATH, None).await?;
        }
        let answer = match &change {
            Some(change) => call(Method::POST, FAULTS_PATH, Some(change)).await?,
            None if records => call(Method::GET, RECORDS_PATH, None).await?,
            None => call(Method::GET, FAULTS_PATH, None).await?,
        };
        println!("{:#}", answer.body);
        Ok(())
    })
}

fn parse_change(args: Arguments) -> Result<Option<Value>, String> {
    let mut change = Value::Object(Map::new());
    let mut found = false;
    for argument in args.finish() {
        let text = argument.to_string_lossy();
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?} is not NAME=VALUE"))?;
        // A value that is not JSON is a plain string, so that strings need no quotes.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        let mut slot = &mut change;
        for part in name.split('.') {
            slot = &mut slot[part];
        }
        *slot = value;
        found = true;
    }
    Ok(found.then_some(change))
}
