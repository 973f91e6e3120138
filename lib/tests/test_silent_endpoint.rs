//! An endpoint that is silent for a second keeps its connections.
//!
//! Guards against a time limit for unacknowledged bytes below that of the keep-alive probes. On Linux this limit also ends
//! a connection whose probes get no answer, whatever their number: one lost probe was enough.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::gateway::wire::egress::{ENDPOINT_SILENCE, SERVICE_SILENCE, open_stream},
    socket2::SockRef,
    std::time::Duration,
    tokio::{net::TcpListener, runtime::Builder},
};

/// Silence of a sound endpoint, and the time between two probes.
const SILENCE: Duration = Duration::from_secs(1);
const PROBE_GAP: Duration = Duration::from_secs(1);

#[test]
fn silent_second() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        for limit in [ENDPOINT_SILENCE, SERVICE_SILENCE] {
            let stream = open_stream(address, Duration::from_secs(1), limit)
                .await
                .unwrap();
            let socket = SockRef::from(&stream);
            let probes =
                socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
            let probing = socket.tcp_keepalive_time().unwrap() + probes;
            assert_eq!(socket.tcp_user_timeout().unwrap(), Some(probing));
            assert_eq!(probing, limit);
        }
        assert!(ENDPOINT_SILENCE >= SILENCE + 2 * PROBE_GAP);
    });
}
