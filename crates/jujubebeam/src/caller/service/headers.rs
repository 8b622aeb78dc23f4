//! Headers that targets may see.

use jujubebeam_caller::headers;
use ntex::http::HeaderMap;

/// Copies the headers that a target may see. The caller's key is never among them.
pub(super) fn for_target(incoming: &HeaderMap) -> HeaderMap {
    const DROPPED: [&str; 12] = [
        "authorization",
        headers::API_KEY,
        headers::ATTEMPT,
        headers::DEADLINE_MS,
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "host",
        "upgrade",
        "proxy-authorization",
        "expect",
    ];
    let mut outgoing = HeaderMap::new();
    for (name, value) in incoming {
        if !DROPPED.contains(&name.as_str()) {
            outgoing.append(name.clone(), value.clone());
        }
    }
    outgoing
}
