//! Reads load reports from targets.

use jujubebeam_core::settings::TargetSpec;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_engine::{EngineClient, EngineClientConfig};
use jujubebeam_service::{ServiceClient, ServiceClientConfig};
use ntex::time::{Millis, sleep};

use crate::context::Context;

const READ_INTERVAL: Millis = Millis(500);

/// Starts reading.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            if let Some(snapshot) = context.shared.snapshot() {
                for target in snapshot.targets.values() {
                    read(&context, target).await;
                }
            }
            sleep(READ_INTERVAL).await;
        }
    });
}

async fn read(context: &Context, target: &TargetSpec) {
    let client = context.targets.clone();
    let report = match target.kind {
        TargetKind::Engine => {
            EngineClient::new(client, &target.address, EngineClientConfig::default())
                .load()
                .await
        }
        TargetKind::Service => {
            ServiceClient::new(client, &target.address, ServiceClientConfig::default())
                .load()
                .await
        }
    };
    context.shared.set_load(target.id, report.ok());
}
