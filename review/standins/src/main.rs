//! Stand-ins of clients, servers and the platform: `review-standins CASE ROOT FOLDER RECORD`.
//!
//! Exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod bodies;
mod engine;
mod http;
mod model_engine;
mod oversize;
mod parts;
mod platform;
mod record;
mod refused;
mod routes;
mod words;

use std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use platform::Platform;
use record::Record;

/// The key of the only tenant.
pub const KEY: &str = "key-of-the-tenant";
pub const SERVICE: &str = "field-api";

pub struct Setup {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub trouble: bool,
}

/// Returns a configuration with these routes: name, kind and `timeoutMs`.
pub fn config(routes: &[(&str, &str, u64)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, timeout)| {
            format!(
                r#"{{"name":"r-{name}","host":"field.example","@prefix@":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"@objective@":500,"priority":1,"service":"{SERVICE}","maxAttempts":2,"public":false,"sticky":false}}"#
            )
        })
        .collect();
    config_of(1, &routes)
}

/// Returns a configuration of a version with these routes.
pub fn config_of(version: usize, routes: &[String]) -> String {
    words::put(&format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":314,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team-a","@keys@":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    ))
}

/// Starts a deployment with these routes; `None` if it does not get ready.
pub fn start_platform(
    setup: &Setup,
    fronts: u8,
    cores: u8,
    routes: &[(&str, &str, u64)],
) -> Option<Arc<Platform>> {
    start_platform_with(setup, fronts, cores, &config(routes))
}

/// Does the same with a whole configuration.
pub fn start_platform_with(
    setup: &Setup,
    fronts: u8,
    cores: u8,
    config: &str,
) -> Option<Arc<Platform>> {
    let (root, folder) = (&setup.root, &setup.folder);
    let platform = Platform::plan(root, folder, fronts, cores, Arc::clone(&setup.record));
    let platform = Arc::new(platform);
    platform.start();
    let limit = Duration::from_secs(20);
    if !platform.configure(config, limit) {
        setup.record.say("the configuration was not acknowledged");
        return None;
    }
    if !platform.wait_until_ready(limit) {
        setup.record.say("the front machines did not get ready");
        return None;
    }
    Some(platform)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = &arguments[..] else {
        eprintln!("usage: review-standins CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: Arc::new(Record::create(&PathBuf::from(record))),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let broken = match case.as_str() {
        "bodies" => bodies::run(&setup),
        "oversize" => oversize::run(&setup),
        "parts" => parts::run(&setup),
        "refused" => refused::run(&setup),
        "routes" => routes::run(&setup),
        _ => None,
    };
    match broken {
        Some(true) => {
            setup.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Some(false) => {
            setup.record.say("the rule held");
            ExitCode::SUCCESS
        }
        None => {
            setup.record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
