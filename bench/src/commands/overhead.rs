//! `hazelyoke-bench overhead`: time that the path adds over calling the stand-ins directly.

use {
    anyhow::{Result, anyhow},
    argh::FromArgs,
    bytes::Bytes,
    hazelyoke_lib::pipeline::endpoints::wire,
    hazelyoke_testutils::{
        fixture::{Fixture, any_address},
        http_client::{Caller, CallerRequest},
        plain::{self, PlainModel},
    },
    hdrhistogram::Histogram,
    std::time::{Duration, Instant},
};

/// time of a call through a daemon against the same call sent to the endpoint directly
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
    /// calls of each kind
    #[argh(option, default = "5000")]
    calls: u32,
}

impl Overhead {
    /// Runs the command: both kinds alternate, so that noise hits them alike.
    ///
    /// # Errors
    ///
    /// Returns an error when a call isn't answered.
    pub async fn run(self) -> Result<bool> {
        let mut fixture = Fixture::start().await;
        let model = PlainModel {
            usual: Duration::ZERO,
            slots: 64,
            checks_keys: false,
        };
        let endpoint = plain::start("encoder", any_address(), model).await?;
        let address = endpoint.address();
        fixture.endpoints.insert("encoder", vec![endpoint]);
        fixture.publish();
        let (_daemon, through) = fixture.daemon().await;
        let direct = Caller::new(address);
        let mut direct_times = Histogram::<u64>::new(3)?;
        let mut through_times = Histogram::<u64>::new(3)?;
        for i in 0..self.calls {
            let body = Bytes::from(format!("{{\"n\":{i}}}"));
            let request = CallerRequest::new(wire::CALL_PATH, "market", body.clone());
            time(&direct, request, &mut direct_times).await?;
            let request = CallerRequest::new("/v1/services/encoder", "market", body);
            time(&through, request, &mut through_times).await?;
        }
        println!("{:<8}{:>12}{:>12}{:>10}", "", "DIRECT", "THROUGH", "RATIO");
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let direct = direct_times.value_at_quantile(quantile);
            let through = through_times.value_at_quantile(quantile);
            let ratio = through as f64 / direct as f64;
            println!("{name:<8}{direct:>10}us{through:>10}us{ratio:>10.2}");
        }
        Ok(true)
    }
}

async fn time(caller: &Caller, request: CallerRequest, times: &mut Histogram<u64>) -> Result<()> {
    let started = Instant::now();
    let reply = caller.post(request).await.map_err(|error| anyhow!(error))?;
    if !reply.status.is_success() {
        return Err(anyhow!("status {}", reply.status));
    }
    times.saturating_record(started.elapsed().as_micros() as u64);
    Ok(())
}
