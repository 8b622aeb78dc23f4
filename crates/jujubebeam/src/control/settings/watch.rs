//! Keeps one watch of the store open.

use std::sync::atomic::Ordering;

use jujubebeam_core::Revision;
use jujubebeam_core::settings::replica::Event;
use jujubebeam_http::CallError;
use jujubebeam_operator::SETTINGS_PREFIX;
use jujubebeam_store::WatchError;
use ntex::time::{Millis, timeout};

use super::SettingsPart;
use crate::context::Context;
use crate::part;

/// Time after which a waiting watch looks whether it is still wanted.
const CHECK_INTERVAL: Millis = Millis(500);

/// Opens a watch, which replaces an earlier one.
pub(super) fn start(context: &Context, from: Revision) {
    let number = context.shared.settings.watch.fetch_add(1, Ordering::SeqCst) + 1;
    let context = context.clone();
    ntex::rt::spawn(async move {
        let Err(error) = run(&context, from, number).await else {
            return;
        };
        log::info!("settings: {error}");
        // A store without watches answers 404; reading once a second goes on.
        let supported = !matches!(error, WatchError::Call(CallError::Status { code: 404, .. }));
        part::feed::<SettingsPart>(&context, Event::WatchEnded { supported });
    });
}

/// Ends the present watch.
pub(super) fn stop(context: &Context) {
    context.shared.settings.watch.fetch_add(1, Ordering::SeqCst);
}

/// Returns without an error once another watch replaces this one.
async fn run(context: &Context, from: Revision, number: u64) -> Result<(), WatchError> {
    let mut watcher = context.store.watch(SETTINGS_PREFIX, from).await?;
    while context.shared.settings.watch.load(Ordering::SeqCst) == number {
        let Ok(next) = timeout(CHECK_INTERVAL, watcher.next()).await else {
            continue;
        };
        let (events, _) = next?;
        let entries = events.into_iter().map(|e| (e.entry, e.deleted)).collect();
        part::feed::<SettingsPart>(context, Event::Watched { entries });
    }
    Ok(())
}
