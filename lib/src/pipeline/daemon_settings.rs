//! Settings of one pipeline daemon: host, data centre, address, limits, and where it reads the settings tree.
//!
//! Defines the names of the fields, their defaults and their checks. `settings::document` parses the JSON with comments
//! and locates findings.

use {
    crate::{
        pipeline::api::context::ApiLimits,
        settings::document::{self, ObjectReader},
        shared::{
            findings::{Findings, Location},
            ids::{DataCentreId, HostId},
            units::{ByteSize, Count, Millis, Share},
        },
    },
    std::net::SocketAddr,
};

/// Default of `hop`: extra time that a call into another data centre is expected to take.
const DEFAULT_HOP: Millis = Millis(1);

/// Default interval between reads of the endpoints' load reports and the engines' cache events.
const DEFAULT_LOAD_INTERVAL: Millis = Millis(100);

/// Default interval between reads of the settings tree.
const DEFAULT_POLL: Millis = Millis(1_000);

/// Default of the largest number of requests in progress.
const DEFAULT_MAX_REQUESTS: Count = Count(2_000);

/// Default of the largest total size of a request's headers.
const DEFAULT_MAX_HEADERS: ByteSize = ByteSize(16 * 1024);

/// Default of the longest time in which a request's body must arrive.
const DEFAULT_RECEIVE_TIMEOUT: Millis = Millis(5_000);

/// Default time for the load balancer to notice that the daemon is stopping.
const DEFAULT_STOP_GRACE: Millis = Millis(5_000);

/// Default share of new traces that is sampled.
const DEFAULT_SAMPLE: Share = Share(0.01);

/// Checked settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Where the settings tree is read from.
    pub config: ConfigSettings,
    /// Extra time that a call into another data centre is expected to take.
    pub hop: Millis,
    /// Interval between reads of the endpoints' load reports and the engines' cache events.
    pub load_interval: Millis,
    /// Limits on callers' requests.
    pub limits: ApiLimits,
    /// Time for the load balancer to notice that the daemon is stopping. Requests are still accepted until then.
    pub stop_grace: Millis,
    /// Where traces are exported to; `None` if they aren't.
    pub traces: Option<TraceSettings>,
}

/// Where the settings tree is read from.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSettings {
    /// Address of the configuration service.
    pub address: SocketAddr,
    /// Name of the root value of the tree.
    pub tree: String,
    /// Interval between reads.
    pub poll: Millis,
}

/// Where traces are exported to.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceSettings {
    /// URL of the OTLP collector.
    pub collector: String,
    /// Share of new traces that is sampled.
    pub sample: Share,
}

/// A daemon's settings as parsed, before they are checked.
#[derive(Debug, Clone)]
pub struct RawDaemonSettings {
    value: document::Value,
}

impl RawDaemonSettings {
    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns the syntax errors, each with its position.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        let value = document::parse_bytes(file, bytes)?;
        Ok(Self { value })
    }
}

impl TryFrom<RawDaemonSettings> for DaemonSettings {
    type Error = Findings;

    fn try_from(raw: RawDaemonSettings) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut root = ObjectReader::new("daemon", raw.value, &mut findings);
        let host = root.take_required::<HostId>("host");
        let data_centre = root.take_required::<DataCentreId>("data_centre");
        let listen = root.take_required::<SocketAddr>("listen");
        let hop = take_or(&mut root, "hop", DEFAULT_HOP);
        let load_interval = take_or(&mut root, "load_interval", DEFAULT_LOAD_INTERVAL);
        let stop_grace = take_or(&mut root, "stop_grace", DEFAULT_STOP_GRACE);
        let limits = ApiLimits {
            max_requests: take_or(&mut root, "max_requests", DEFAULT_MAX_REQUESTS),
            max_headers: take_or(&mut root, "max_headers", DEFAULT_MAX_HEADERS),
            receive_timeout: take_or(&mut root, "receive_timeout", DEFAULT_RECEIVE_TIMEOUT),
        };
        let config = take_config(&mut root);
        let traces = take_traces(&mut root);
        let location = root.location().clone();
        check_positive(&mut root, &location, "load_interval", load_interval);
        root.finish();
        let required = (host, data_centre, listen, config);
        let (Some(host), Some(data_centre), Some(listen), Some(config)) = required else {
            findings.into_result(())?;
            unreachable!("a missing value is always a finding");
        };
        findings.into_result(Self {
            host: host.value,
            data_centre: data_centre.value,
            listen: listen.value,
            config,
            hop,
            load_interval,
            limits,
            stop_grace,
            traces,
        })
    }
}

fn take_or<T>(reader: &mut ObjectReader<'_>, name: &'static str, default: T) -> T
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    reader
        .take_parsed(name)
        .map_or(default, |taken| taken.value)
}

fn check_positive(reader: &mut ObjectReader<'_>, location: &Location, name: &str, value: Millis) {
    if value.0 == 0 {
        let message = format!("{name} is zero");
        let hint = "give a time above zero";
        reader.findings().add(location, "daemon", message, hint);
    }
}

fn take_config(root: &mut ObjectReader<'_>) -> Option<ConfigSettings> {
    let location = root.location().clone();
    let Some(value) = root.take("config") else {
        let message = "\"config\" is missing";
        let hint = "add \"config\" with \"address\" and \"tree\"";
        root.findings().add(&location, "daemon", message, hint);
        return None;
    };
    let mut reader = ObjectReader::new("daemon/config", value, root.findings());
    let address = reader.take_required::<SocketAddr>("address");
    let tree = reader.take_required::<String>("tree");
    let poll = take_or(&mut reader, "poll", DEFAULT_POLL);
    let location = reader.location().clone();
    check_positive(&mut reader, &location, "poll", poll);
    reader.finish();
    Some(ConfigSettings {
        address: address?.value,
        tree: tree?.value,
        poll,
    })
}

fn take_traces(root: &mut ObjectReader<'_>) -> Option<TraceSettings> {
    let value = root.take("traces")?;
    let mut reader = ObjectReader::new("daemon/traces", value, root.findings());
    let collector = reader.take_required::<String>("collector");
    let sample = take_or(&mut reader, "sample", DEFAULT_SAMPLE);
    reader.finish();
    Some(TraceSettings {
        collector: collector?.value,
        sample,
    })
}
