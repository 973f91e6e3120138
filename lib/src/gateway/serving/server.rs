//! Starts a forwarding daemon from its settings, and stops it without interrupting requests.
//!
//! The server owns the daemon's tasks and aborts them when it is dropped. The sockets come from
//! [`sockets`](super::sockets), the schedule of a stop from the rule
//! [`shutdown`](crate::gateway::rules::shutdown).

use {
    crate::gateway::{
        dialect::Dialect,
        directory::{
            follow::follow,
            source::{Directory, Topic},
        },
        peers::{
            calibration_reports, catch_up, engine_reports, heartbeats, link_server,
            loan_reports::LoanReports, origin_reports::OriginReports,
            quarantine_reports::QuarantineReports, rate_reports, receive,
            request_reports::run_reports, reservation_reports::ReservationReports, table_fetch,
        },
        rules::shutdown::StopSchedule,
        serving::{
            ingress::{self, ListenerState},
            operator,
            settings::GatewaySettings,
            sockets::{BindError, BoundListener, Sockets},
        },
        stages::{call_runner::run_calls, release::run_releases},
        state::Gateway,
    },
    std::{future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        task::AbortHandle,
        time::Instant,
    },
};

/// Interval of the checks for requests in flight during a stop; also the time to send answers that are already written
/// when no request is left.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time to send the answers to requests that are cancelled when a stop's schedule expires. It is less than the time
/// that the schedule leaves before the end of the grace period.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// A running forwarding daemon. It runs on one thread, in a `LocalSet`.
#[derive(Debug)]
pub struct Server<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    listener_state: watch::Sender<ListenerState>,
    tasks: Vec<AbortHandle>,
    listen: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    operator: Option<SocketAddr>,
}

impl<D: Dialect> Drop for Server<D> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl<D: Dialect> Server<D> {
    /// Binds the addresses of the settings, then starts to follow the directory and to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(
        mut settings: GatewaySettings,
        directory: impl Directory,
    ) -> Result<Self, BindError> {
        let sockets = Sockets::bind(&settings).await?;
        // If the settings leave the port open, other daemons need the port that the system chose.
        settings.peer = sockets.peer;
        settings.peer = settings.advertised_address();
        let gateway: Rc<Gateway<D>> = Gateway::new(settings);
        let (listener_state, listener_watch) = watch::channel(ListenerState::Open);
        let mut server = Self {
            gateway: gateway.clone(),
            listener_state,
            tasks: Vec::new(),
            listen: sockets.callers.address,
            ready: sockets.ready.address,
            peer: sockets.peer,
            operator: sockets.operators.as_ref().map(|bound| bound.address),
        };
        server.follow_directory(directory);
        server.join_peers(sockets.links, sockets.datagrams);
        server.run_stages();
        server.serve_operators(sockets.ready, sockets.operators, sockets.metrics);
        server.serve_callers(sockets.callers, listener_watch);
        let settings = gateway.settings();
        log::info!(
            host:% = settings.host,
            listen:% = server.listen,
            peer:% = settings.peer,
            data_centre:% = settings.data_centre;
            "daemon.started"
        );
        Ok(server)
    }

    fn follow_directory(&mut self, directory: impl Directory) {
        let directory = Rc::new(directory);
        for (name, topic) in [
            ("operator_topic", Topic::Operator),
            ("endpoints_topic", Topic::Endpoints),
        ] {
            let directory = directory.clone();
            self.spawn(name, move |gateway| {
                follow(gateway, directory.clone(), topic)
            });
        }
    }

    fn join_peers(&mut self, links: TcpListener, datagrams: UdpSocket) {
        let (links, datagrams) = (Rc::new(links), Rc::new(datagrams));
        let _ = self.gateway.datagrams.set(datagrams.clone());
        self.spawn_sender("heartbeats", &datagrams, heartbeats::run_heartbeats);
        self.spawn("clock", heartbeats::check_clock);
        self.spawn_sender(
            "quarantine_reports",
            &datagrams,
            run_reports::<QuarantineReports, D>,
        );
        self.spawn_sender("rate_reports", &datagrams, rate_reports::run_rate_reports);
        self.spawn_sender(
            "engine_reports",
            &datagrams,
            engine_reports::run_engine_reports,
        );
        self.spawn_sender(
            "calibration_reports",
            &datagrams,
            calibration_reports::run_calibration_reports,
        );
        self.spawn_sender(
            "reservation_reports",
            &datagrams,
            run_reports::<ReservationReports, D>,
        );
        self.spawn_sender(
            "origin_reports",
            &datagrams,
            run_reports::<OriginReports, D>,
        );
        self.spawn_sender("loan_reports", &datagrams, run_reports::<LoanReports, D>);
        self.spawn_sender("datagrams", &datagrams, receive::receive_datagrams);
        self.spawn("links", move |gateway| {
            link_server::serve_links(gateway, links.clone())
        });
        self.spawn("list_fetch", catch_up::run_list_fetch);
        self.spawn("table_fetch", table_fetch::run_table_fetch);
        let gateway = self.gateway.clone();
        let settled = move || heartbeats::announce_settled(gateway.clone());
        self.tasks
            .push(self.gateway.spawn_restarted("settled", settled));
    }

    fn run_stages(&mut self) {
        self.spawn("stage_calls", run_calls);
        self.spawn("stage_releases", run_releases);
    }

    fn serve_operators(
        &mut self,
        ready: BoundListener,
        operators: Option<BoundListener>,
        metrics: Option<BoundListener>,
    ) {
        for bound in [Some(ready), operators, metrics].into_iter().flatten() {
            let listener = Rc::new(bound.listener);
            self.spawn("operators", move |gateway| {
                operator::serve(gateway, listener.clone())
            });
        }
    }

    fn serve_callers(&mut self, callers: BoundListener, state: watch::Receiver<ListenerState>) {
        let gateway = self.gateway.clone();
        let listener = Rc::new(callers.listener);
        let serve = move || ingress::serve(gateway.clone(), listener.clone(), state.clone());
        self.tasks
            .push(self.gateway.spawn_restarted("callers", serve));
    }

    /// Starts a task that sends datagrams to other daemons or receives them.
    fn spawn_sender<F: Future<Output = ()> + 'static>(
        &mut self,
        name: &'static str,
        datagrams: &Rc<UdpSocket>,
        start: impl Fn(Rc<Gateway<D>>, Rc<UdpSocket>) -> F + 'static,
    ) {
        let datagrams = datagrams.clone();
        self.spawn(name, move |gateway| start(gateway, datagrams.clone()));
    }

    /// Starts a task that runs as long as the daemon.
    fn spawn<F: Future<Output = ()> + 'static>(
        &mut self,
        name: &'static str,
        start: impl Fn(Rc<Gateway<D>>) -> F + 'static,
    ) {
        let gateway = self.gateway.clone();
        let task = self
            .gateway
            .spawn_endless(name, move || start(gateway.clone()));
        self.tasks.push(task);
    }

    /// Returns the state that the daemon's tasks share.
    pub fn gateway(&self) -> &Rc<Gateway<D>> {
        &self.gateway
    }

    /// Returns the address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the address on which this daemon listens to other daemons. They may use a different one, see
    /// [`GatewaySettings::advertised`].
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address for operators, if the settings have one.
    pub fn operator(&self) -> Option<SocketAddr> {
        self.operator
    }

    /// Stops without interrupting requests.
    ///
    /// The daemon reports itself as not ready at once, but accepts callers until the load balancer has noticed. Then
    /// it waits for the requests in flight and for the connections of callers, which close once their answers are sent.
    /// Requests that don't complete in time are answered as not run if that is
    /// proven, and as unknown otherwise. The times come from the rule
    /// [`shutdown`](crate::gateway::rules::shutdown).
    pub async fn stop(self) {
        let started = Instant::now();
        let schedule = StopSchedule::new(self.gateway.settings().grace);
        let end = started + schedule.end;
        self.gateway
            .stop_end
            .set(Some(self.gateway.now() + schedule.end));
        log::info!(in_flight = self.gateway.in_flight.get(); "daemon.stopping");
        tokio::time::sleep_until(started + schedule.close).await;
        self.listener_state.send_replace(ListenerState::Closing);
        while Instant::now() < end && self.is_busy() {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let in_flight = self.gateway.in_flight.get();
        let final_answers_time = if in_flight > 0 {
            FINAL_ANSWERS_TIME
        } else {
            STOP_CHECK_INTERVAL
        };
        self.gateway.stop_expired.notify_waiters();
        // Leaves time to send answers that were just written.
        tokio::time::sleep(final_answers_time).await;
        log::info!(in_flight; "daemon.stopped");
    }

    /// Returns whether a request has no answer yet, an answer is still being sent, or jobs of other daemons wait.
    fn is_busy(&self) -> bool {
        let gateway = &self.gateway;
        let jobs = gateway.state.borrow().stage_queues.jobs();
        gateway.in_flight.get() > 0 || gateway.callers.get() > 0 || jobs > 0
    }
}
