//! Starts the VMs of a process and ends them gracefully.

use std::{
    io,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use displaydoc::Display;
use futures_util::future::join_all;
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
    server::graceful::GracefulShutdown, //
};
use serde::Serialize;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::Instant,
};

use crate::{
    announce::{
        self,
        HttpClient, //
    },
    fellow,
    serve::{
        self,
        Connections, //
    },
    settings::{
        Settings,
        VmSettings, //
    },
    vm::{
        Peers,
        Vm, //
    },
};

/// How often a leaving VM looks whether it is idle.
const IDLE_CHECK: Duration = Duration::from_millis(10);
/// How long connections may take to close when nothing runs any more.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the process cannot start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// VM {vm} cannot listen on {address}: {source}
    Listen {
        /// The VM.
        vm: VmId,
        /// Where it was to listen.
        address: Address,
        /// What the operating system says.
        source: io::Error,
    },
    /// signals cannot be received: {0}
    Signals(io::Error),
}

/// The line printed for each VM once it listens.
#[derive(Clone, Debug, Serialize)]
pub struct Listening {
    /// The VM.
    pub vm: VmId,
    /// Where it listens.
    pub address: Address,
}

/// Starts all VMs, prints where they listen, and runs until SIGTERM or SIGINT.
///
/// Must run inside a `LocalSet`.
///
/// # Errors
///
/// Returns an error if a VM cannot listen or signals cannot be received.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    let peers = Peers::default();
    peers.borrow_mut().extend(settings.peers);
    let connections = Connections::default();
    connections.replace(Some(GracefulShutdown::new()));
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut vms = Vec::new();
    for vm_settings in settings.vms {
        let (vm, listener) = bind(vm_settings, &peers).await?;
        print_listening(&vm);
        start(&vm, listener, &connections, &client);
        vms.push(vm);
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    join_all(vms.iter().map(|vm| leave(vm))).await;
    // The last tokens may still be on their way out of the process.
    if let Some(graceful) = connections.take() {
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
    }
    Ok(())
}

async fn bind(settings: VmSettings, peers: &Peers) -> Result<(Rc<Vm>, TcpListener), StartError> {
    let vm = settings.vm.clone();
    let address = settings.listen;
    let failed = |source| StartError::Listen {
        vm,
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(failed.clone())?;
    let bound = listener.local_addr().map_err(failed)?;
    peers.borrow_mut().insert(settings.vm.clone(), bound);
    let vm = Rc::new(Vm::new(settings, bound, Rc::clone(peers)));
    Ok((vm, listener))
}

fn print_listening(vm: &Vm) {
    let listening = Listening {
        vm: vm.settings.vm.clone(),
        address: vm.address,
    };
    if let Ok(line) = serde_json::to_string(&listening) {
        println!("{line}");
    }
}

fn start(vm: &Rc<Vm>, listener: TcpListener, connections: &Connections, client: &HttpClient) {
    let mut dead = vm.dead.subscribe();
    let listen = serve::listen_forever(Rc::clone(vm), listener, Rc::clone(connections));
    let announce = announce::announce_forever(Rc::clone(vm), client.clone());
    let watch = fellow::watch_members(Rc::clone(vm), client.clone());
    tokio::task::spawn_local(listen);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = dead.wait_for(|dead| *dead) => {}
            () = async { tokio::join!(announce, watch); } => {}
        }
    });
}

/// Announces that the VM is leaving and waits until nothing runs any more.
///
/// Requests that arrive meanwhile are served: they were sent before the notice arrived.
async fn leave(vm: &Vm) {
    vm.leaving.set(true);
    vm.news.notify_one();
    let start = Instant::now();
    let notice = Duration::from_millis(vm.settings.leave_notice_ms);
    let timeout = notice + Duration::from_millis(vm.settings.leave_timeout_ms);
    while start.elapsed() < timeout {
        let is_dead = *vm.dead.borrow();
        if is_dead || (start.elapsed() >= notice && vm.idle()) {
            return;
        }
        tokio::time::sleep(IDLE_CHECK).await;
    }
}
