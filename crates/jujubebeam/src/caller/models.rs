//! Lists the models that a caller may use.

use jujubebeam_caller::{ModelEntry, ModelList};
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::settings::{Snapshot, WorkspaceSpec};
use ntex::web::{HttpRequest, HttpResponse};

use super::respond::error_response;
use super::{ContextState, auth, refusals};

/// Handles `GET /v1/models`.
pub(crate) async fn list(context: ContextState, request: HttpRequest) -> HttpResponse {
    let id = refusals::id_text(context.shared.new_request_id());
    let result = refusals::settings(&context).and_then(|snapshot| {
        let workspace = auth::workspace(&context.shared, &snapshot, request.headers())?;
        Ok(models(&snapshot, workspace))
    });
    match result {
        Ok(list) => HttpResponse::Ok().json(&list),
        Err(error) => error_response(error.request_id(id)),
    }
}

fn models(snapshot: &Snapshot, workspace: &WorkspaceSpec) -> ModelList {
    let mut names: Vec<&String> = snapshot
        .routes
        .iter()
        .filter(|r| r.settings.kind == TargetKind::Engine && workspace.may_use_route(r.id))
        .flat_map(|r| &r.settings.models)
        .filter(|m| workspace.may_use_model(m))
        .collect();
    names.sort();
    names.dedup();
    let entry = |name: &String| ModelEntry {
        id: name.clone(),
        object: "model".into(),
    };
    ModelList {
        object: "list".into(),
        data: names.into_iter().map(entry).collect(),
    }
}
