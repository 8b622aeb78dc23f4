//! Client of plain services: services beside the engines to which the system routes as well.

mod client;

pub use client::{LOAD_PATH, ServiceClient, ServiceClientConfig};
