//! Arguments of the command line.

use {argh::FromArgs, std::path::PathBuf};

/// Serve requests of callers through pipelines of endpoints.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// run on the users' platform, with the settings that it writes
    #[argh(switch)]
    pub platform: bool,

    /// port of this host for metrics, beside the settings' own address
    #[argh(option)]
    pub metrics_port: Option<u16>,

    /// port of this host at which other daemons reach this one on the platform, where a proxy or a
    /// translation of addresses stands before the settings' own port
    #[argh(option)]
    pub advertised_port: Option<u16>,

    /// file with the daemon's settings: JSON with comments, or the platform's own form
    #[argh(positional)]
    pub settings: Option<PathBuf>,
}
