//! Answers which entry address a caller should use.

use jujubebeam_caller::{Address, AddressList};
use jujubebeam_core::Clock;
use ntex::web::{HttpRequest, HttpResponse};

use super::ContextState;

/// Odd constant of Fibonacci hashing, which spreads consecutive numbers.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Handles `GET /v1/addresses`.
pub(crate) async fn list(context: ContextState, request: HttpRequest) -> HttpResponse {
    let zone = query_value(request.query_string(), "zone").unwrap_or_default();
    let shared = &context.shared;
    // The serial spreads callers that ask the same vm, the vm those that ask different ones.
    let seed = shared.next_serial() ^ (u64::from(shared.config.vm.0) << 32);
    let hash = seed.wrapping_mul(SPREAD) >> 16;
    let machine = shared.membership.machine();
    let records = machine.addresses(zone, hash, shared.clock.now());
    let addresses = records
        .into_iter()
        .map(|record| Address {
            url: format!("http://{}", record.caller_address),
            zone: record.zone.clone(),
        })
        .collect();
    HttpResponse::Ok().json(&AddressList {
        addresses,
        lifetime_ms: machine.address_lifetime().as_millis() as u64,
    })
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
