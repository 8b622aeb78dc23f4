//! The operator client, the platform's records and the store's content.

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

use super::{BINARY, Fleet, finish, send};

const OPERATOR_KEY: &str = "jbo-example-operator";

impl Fleet {
    /// Runs the operator client against a vm.
    pub(crate) fn operate(&self, vm: u16, arguments: &[&str]) -> Output {
        Command::new(BINARY)
            .arg("vm")
            .args(arguments)
            .args(["--address", &format!("127.0.0.1:{}", self.vm(vm))])
            .env("JUJUBEBEAM_OPERATOR_KEY", OPERATOR_KEY)
            .output()
            .expect("the stand-in binary starts")
    }

    pub(crate) fn status(&self, vm: u16) -> Option<Value> {
        let output = self.operate(vm, &["status", "--output", "json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    pub(crate) fn clear_faults(&self, port: u16) {
        let answer = finish(send(port, "DELETE", "/standin/faults", "", ""));
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Values of all keys of the store with this prefix.
    pub(crate) fn stored(&self, prefix: &str) -> Vec<(String, Value)> {
        let mut end = prefix.as_bytes().to_vec();
        *end.last_mut().expect("a prefix") += 1;
        let (key, end) = (STANDARD.encode(prefix), STANDARD.encode(end));
        let body = format!(r#"{{"key":"{key}","range_end":"{end}"}}"#);
        let answer = finish(send(self.platform(), "POST", "/v3/kv/range", "", &body));
        let found: Value = answer.json();
        let decode = |value: &Value| STANDARD.decode(value.as_str().unwrap_or_default());
        let kvs = found["kvs"].as_array().cloned().unwrap_or_default();
        let pairs = kvs.iter().map(|kv| {
            let key = decode(&kv["key"]).expect("a key in base64");
            let value = decode(&kv["value"]).expect("a value in base64");
            let value = serde_json::from_slice(&value).unwrap_or_default();
            (String::from_utf8_lossy(&key).into_owned(), value)
        });
        pairs.collect()
    }

    /// Index of the vm that holds a scope.
    pub(crate) fn holder(&self, scope: &str) -> Option<u16> {
        let key = format!("authority/{scope}");
        let stored = self.stored(&key);
        let (_, value) = stored.into_iter().find(|(found, _)| *found == key)?;
        let vm = value["vm"].as_u64()?;
        Some(u16::try_from(vm - 1).expect("a small number"))
    }

    /// Usage reports in the order of arrival, as pairs of result and report.
    pub(crate) fn usage_reports(&self) -> Vec<(String, Value)> {
        let records = self.records(self.platform());
        let reports = records["usage_reports"].as_array().cloned();
        let reports = reports.expect("the platform records reports");
        let pair = |r: Value| {
            let result = r["result"].as_str().unwrap_or_default().to_owned();
            (result, r["report"].clone())
        };
        reports.into_iter().map(pair).collect()
    }

    /// Ends an engine without notice. A crash before is no fault of the test.
    pub(crate) fn crash_engine(&self, port: u16) {
        finish(send(
            port,
            "POST",
            "/standin/faults",
            "",
            r#"{"exit":true}"#,
        ));
    }

    pub(crate) fn restart_engine(&self, port: u16) {
        let address = format!("127.0.0.1:{port}");
        self.restart(&["engine", "--address", &address, "--model", "darn-7b"]);
    }

    /// Waits until a vm serves, and returns the time that it took.
    pub(crate) fn until_whole(&self, vm: u16) -> Duration {
        let started = Instant::now();
        super::until(|| self.chat(vm, "again", 1).is_whole());
        started.elapsed()
    }
}

impl super::Answer {
    pub(crate) fn json(&self) -> Value {
        let body = self
            .text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body);
        serde_json::from_str(body).unwrap_or_default()
    }

    pub(crate) fn says(&self, kind: &str) -> bool {
        self.text.contains(&format!("\"type\":\"{kind}\""))
    }

    pub(crate) fn says_not_run(&self) -> bool {
        self.text.contains("\"not_run\":true")
    }
}
