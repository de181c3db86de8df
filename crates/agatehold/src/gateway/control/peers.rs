//! Heartbeats between daemons, and fetching contents of the store from other
//! daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use agatehold_core::dissemination::SentTime;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::units::TimeMs;
use agatehold_platform::StoreCall;

use crate::clock::Clock;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::KnownContents;
use crate::gateway::messages::contents_path;
use crate::gateway::messages::decode_contents;
use crate::gateway::messages::decode_heartbeat;
use crate::gateway::messages::encode_heartbeat;
use crate::gateway::store::StoreClient;
use crate::gateway::store_tasks::StoreEvent;
use crate::telemetry::FieldText;

use super::tables::ControlTables;

/// The UDP socket for heartbeats.
pub(super) struct Peers {
    socket: UdpSocket,
    /// The mark of this process.
    process: u16,
    /// The clock of the times at which heartbeats are sent.
    clock: Clock,
}

impl Peers {
    /// Binds the socket.
    pub(super) async fn bind(address: SocketAddr, incarnation: Incarnation) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            process: incarnation.0 as u16,
            clock: Clock::new_with_suspensions(),
        })
    }

    /// Waits for a datagram; `None` if it is not a valid heartbeat or receiving
    /// failed.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> Option<StoreHeartbeat> {
        match self.socket.recv_from(buffer).await {
            Ok((length, _)) => decode_heartbeat(&buffer[..length]),
            Err(error) => {
                // The kernel reports here that an earlier datagram was sent to a
                // closed port.
                log::debug!("event=receive_failed error=\"{error}\"");
                None
            }
        }
    }

    /// Sends a heartbeat to other daemons, with the revisions of the last changes that
    /// this daemon knows and the time since the store last confirmed them.
    pub(super) async fn send_heartbeat(&self, own: &HostId, tables: &ControlTables, now: TimeMs) {
        let heartbeat = StoreHeartbeat {
            host: own.clone(),
            revisions: tables.contents().changed_at(),
            store_age_ms: now.since(tables.confirmations.oldest()),
            sent: Some(SentTime {
                process: self.process,
                at: TimeMs(self.clock.uptime().0),
            }),
        };
        let bytes = encode_heartbeat(&heartbeat);
        for address in tables.heartbeat_addresses(own) {
            // The next heartbeat makes up for a lost one.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }
}

/// Fetches from the daemon on `host` what is newer than `known`.
pub(super) async fn fetch(
    host: HostId,
    address: SocketAddr,
    known: KnownContents,
    timeout: Duration,
    events: mpsc::Sender<StoreEvent>,
) {
    let fetched = fetch_contents(address, &known, timeout).await;
    let has_failed = fetched.is_none();
    if let Some(fetched) = fetched {
        let _ = events
            .send(StoreEvent::Fetched(address, Box::new(fetched)))
            .await;
    }
    let failed_host = has_failed.then_some(host);
    let _ = events.send(StoreEvent::FetchEnded { failed_host }).await;
}

/// Fetches from a daemon that has sent no heartbeat what is newer than `known`.
pub(super) async fn fetch_from_any(
    address: SocketAddr,
    known: KnownContents,
    timeout: Duration,
    events: mpsc::Sender<StoreEvent>,
) {
    if let Some(fetched) = fetch_contents(address, &known, timeout).await {
        let _ = events
            .send(StoreEvent::Fetched(address, Box::new(fetched)))
            .await;
    }
}

async fn fetch_contents(
    address: SocketAddr,
    known: &KnownContents,
    timeout: Duration,
) -> Option<Fetched> {
    let client = StoreClient::new(address);
    let call = StoreCall {
        method: "GET",
        path: contents_path(known),
        body: Vec::new(),
    };
    match client.call(call, timeout).await {
        Ok(response) => decode_contents(&response.body),
        Err(error) => {
            let fault = error.to_string();
            log::warn!(
                "event=fetch_failed from={address} fault={}",
                FieldText(&fault)
            );
            None
        }
    }
}
