//! Control interface of the stand-ins: faults that can be set at run time, and records of what a
//! stand-in has seen.

use std::sync::{Arc, Mutex, MutexGuard};

use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Reads and changes the faults. A change names only the fields that differ.
pub(crate) const FAULTS_PATH: &str = "/standin/faults";
/// Reads the records.
pub(crate) const RECORDS_PATH: &str = "/standin/records";

/// Largest request body that a stand-in reads. Four store values of 1 MB fit, in base64.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// A stand-in with faults and records.
pub(crate) trait Controlled: Send + Sync + 'static {
    /// Faults that can be set.
    type Faults: Clone + Default + Serialize + DeserializeOwned + Send + 'static;

    /// The faults in force.
    fn faults(&self) -> &Mutex<Self::Faults>;

    /// What the stand-in has seen, as JSON.
    fn records(&self) -> Value;

    /// Runs after the faults changed.
    fn faults_changed(&self) {}
}

/// Adds the control routes and the body limits.
pub(crate) fn configure<S: Controlled>(config: &mut ServiceConfig) {
    config
        .state(web::types::JsonConfig::default().limit(BODY_LIMIT_BYTES))
        .state(web::types::PayloadConfig::new(BODY_LIMIT_BYTES))
        .route(FAULTS_PATH, web::get().to(read_faults::<S>))
        .route(FAULTS_PATH, web::post().to(change_faults::<S>))
        .route(FAULTS_PATH, web::delete().to(clear_faults::<S>))
        .route(RECORDS_PATH, web::get().to(read_records::<S>));
}

/// Locks a mutex. A panic of another handler leaves usable data behind.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

async fn read_faults<S: Controlled>(standin: web::types::State<Arc<S>>) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(standin.faults()))
}

async fn read_records<S: Controlled>(standin: web::types::State<Arc<S>>) -> HttpResponse {
    HttpResponse::Ok().json(&standin.records())
}

async fn clear_faults<S: Controlled>(standin: web::types::State<Arc<S>>) -> HttpResponse {
    *lock(standin.faults()) = S::Faults::default();
    standin.faults_changed();
    read_faults(standin).await
}

async fn change_faults<S: Controlled>(
    standin: web::types::State<Arc<S>>,
    change: web::types::Json<Value>,
) -> HttpResponse {
    let merged = merge_faults(&*lock(standin.faults()), change.into_inner());
    match merged {
        Ok(faults) => *lock(standin.faults()) = faults,
        Err(reason) => return HttpResponse::BadRequest().json(&json!({ "error": reason })),
    }
    standin.faults_changed();
    read_faults(standin).await
}

fn merge_faults<F: Serialize + DeserializeOwned>(current: &F, change: Value) -> Result<F, String> {
    let mut merged = serde_json::to_value(current).map_err(|e| e.to_string())?;
    merge(&mut merged, change);
    serde_json::from_value(merged).map_err(|e| e.to_string())
}

fn merge(target: &mut Value, change: Value) {
    match (target, change) {
        (Value::Object(target), Value::Object(change)) => {
            for (name, value) in change {
                merge(target.entry(name).or_insert(Value::Null), value);
            }
        }
        (target, change) => *target = change,
    }
}
