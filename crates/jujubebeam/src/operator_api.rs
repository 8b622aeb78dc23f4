//! Operator API: subtrees, status and explanations. See `docs/design.md`, section 8.

mod check;
mod explain;
mod status;
mod subtrees;

use jujubebeam_core::settings::KeyHash;
use jujubebeam_operator::api::{ChangeRefused, paths};
use ntex::http::{HeaderMap, header};
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::context::Context;

/// Adds the routes of the operator API to the caller listener.
pub(crate) fn configure(config: &mut ServiceConfig) {
    let explain = format!("{}/{{request}}", paths::EXPLAIN);
    let subtree = format!("{}/{{name}}*", paths::SUBTREES);
    config
        .route(paths::STATUS, web::get().to(status::show))
        .route(&explain, web::get().to(explain::show))
        .service(
            web::resource(subtree)
                .route(web::get().to(subtrees::read))
                .route(web::put().to(subtrees::change)),
        );
}

/// Refuses callers that do not present the operators' key.
fn authorize(context: &Context, headers: &HeaderMap) -> Result<(), HttpResponse> {
    let expected = KeyHash::parse(&context.shared.config.operator_key_sha256);
    let Some(expected) = expected else {
        return Err(refuse(
            HttpResponse::Forbidden(),
            "the operator API of this vm is closed",
            "set `operator_key_sha256` in its settings file",
        ));
    };
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    if presented.map(KeyHash::of_key) == Some(expected) {
        return Ok(());
    }
    Err(refuse(
        HttpResponse::Unauthorized(),
        "the operators' key is missing or wrong",
        "set the variable JUJUBEBEAM_OPERATOR_KEY",
    ))
}

fn refuse(mut builder: web::HttpResponseBuilder, message: &str, remedy: &str) -> HttpResponse {
    builder.json(&ChangeRefused::NotAccepted {
        message: message.into(),
        remedy: remedy.into(),
    })
}
