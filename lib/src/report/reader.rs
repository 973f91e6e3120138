//! Reads log lines and aggregates them into a report.

use {
    super::{
        CallCounts, LogReport, ReportedProblem, RequestCounts,
        log_line::{Line, LogLine, PieceField},
    },
    std::collections::{BTreeMap, HashMap},
};

/// Placeholder for a value that the log doesn't contain, such as the name of a route or a data centre.
const UNKNOWN_NAME: &str = "-";

/// Time after which an open request is dropped, in milliseconds: its end is missing because the daemon was killed or
/// log lines were dropped. Far longer than any deadline.
const MAX_OPEN_MS: u64 = 120_000;

/// Number of open requests above which old ones are searched for and dropped.
const SWEEP_THRESHOLD: usize = 10_000;

const MS_PER_SECOND: u64 = 1_000;

/// Aggregates the lines of logs, of one host after the other.
#[derive(Debug, Default)]
pub struct ReportReader {
    report: LogReport,
    problems: BTreeMap<ProblemKey, ReportedProblem>,
    open: HashMap<String, OpenRequest>,
    /// Data centre of the host whose lines are being read; `None` until its log contains it.
    data_centre: Option<String>,
    /// Second of the first request counted, since 1970; `None` before it.
    first_second: Option<u64>,
}

/// Fields by which problems are grouped.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProblemKey {
    route: String,
    code: String,
    outcome: String,
}

/// A request whose end hasn't been read yet.
#[derive(Debug)]
struct OpenRequest {
    route: String,
    arrived_ms: u64,
    admitted_ms: Option<u64>,
}

impl ReportReader {
    /// Starts the log of another host.
    pub fn begin_host(&mut self) {
        self.data_centre = None;
        self.open.clear();
    }

    /// Adds one line of the current host's log.
    pub fn add(&mut self, text: &str) {
        match Line::parse(text) {
            Line::Event(line) => {
                self.report.lines.events += 1;
                self.add_event(&line);
            }
            Line::Damaged => self.report.lines.damaged += 1,
            Line::Other => self.report.lines.others += 1,
        }
    }

    /// Returns the report on all lines.
    pub fn finish(mut self) -> LogReport {
        self.report.problems = self.problems.into_values().collect();
        self.report
    }

    fn add_event(&mut self, line: &LogLine<'_>) {
        match &*line.event {
            "daemon.started" => self.data_centre = line.data_centre.as_deref().map(str::to_owned),
            "log.dropped" => self.report.lines.dropped += line.lines.unwrap_or(0),
            "pieces.sent" => self.call_sent(line),
            "pieces.ended" => self.call_ended(line),
            _ => self.add_step(line),
        }
    }

    /// Adds an event of a request.
    fn add_step(&mut self, line: &LogLine<'_>) {
        let Some(request) = line.request.as_deref() else {
            return;
        };
        match &*line.event {
            "request.accepted" => self.accepted(request, line),
            "request.admitted" => self.admitted(request, line),
            "attempt.sent" => self.sent(request, line),
            "attempt.repeat" if line.allowed == Some(true) => {
                self.count(request, line, |counts| counts.retries += 1);
            }
            "attempt.resumed" => self.count(request, line, |counts| counts.retries += 1),
            "request.answered" => self.answered(request, line),
            "request.problem" => self.problem(request, line),
            "request.broken_off" => self.end(request, line, |counts| counts.failed += 1),
            "request.caller_left" => self.end(request, line, |counts| counts.left += 1),
            _ => {}
        }
    }

    fn accepted(&mut self, request: &str, line: &LogLine<'_>) {
        self.drop_old(line.at_ms);
        let route = line.route.as_deref().unwrap_or(UNKNOWN_NAME).to_owned();
        let open = OpenRequest {
            route,
            arrived_ms: line.at_ms,
            admitted_ms: None,
        };
        self.open.insert(request.to_owned(), open);
        self.count(request, line, |counts| counts.accepted += 1);
    }

    fn admitted(&mut self, request: &str, line: &LogLine<'_>) {
        self.count(request, line, |counts| counts.admitted += 1);
        let Some(open) = self.open.get_mut(request) else {
            return;
        };
        open.admitted_ms = Some(line.at_ms);
        let route = self.report.routes.entry(open.route.clone()).or_default();
        route.objective_ms = line.objective_ms.or(route.objective_ms);
        if let Some(expected) = line.expected_ms {
            route.expected_ms.add(expected);
        }
    }

    /// Adds the time from the request's admission to its first attempt, which its stages took.
    fn sent(&mut self, request: &str, line: &LogLine<'_>) {
        let Some(open) = self.open.get_mut(request) else {
            return;
        };
        if let Some(admitted) = open.admitted_ms.take() {
            let route = self.report.routes.entry(open.route.clone()).or_default();
            let staged = line.at_ms.saturating_sub(admitted);
            route.staged_ms.add(staged as f64);
        }
    }

    fn answered(&mut self, request: &str, line: &LogLine<'_>) {
        if let Some(open) = self.open.get(request)
            && let Some(took) = line.took_ms
        {
            let route = self.report.routes.entry(open.route.clone()).or_default();
            route.answered_ms.add(took);
        }
        self.end(request, line, |counts| counts.answered += 1);
    }

    fn problem(&mut self, request: &str, line: &LogLine<'_>) {
        let route = self.route_of(request);
        let text = |field: &Option<_>| field.as_deref().unwrap_or(UNKNOWN_NAME).to_owned();
        let key = ProblemKey {
            route: route.clone(),
            code: text(&line.code),
            outcome: text(&line.outcome),
        };
        let may_have_run = key.outcome != "not_run";
        let problem = self.problems.entry(key).or_insert_with(|| ReportedProblem {
            route,
            code: text(&line.code),
            outcome: text(&line.outcome),
            count: 0,
            example: text(&line.detail),
        });
        problem.count += 1;
        self.end(request, line, |counts| {
            if may_have_run {
                counts.failed += 1;
            } else {
                counts.refused += 1;
            }
        });
    }

    /// Counts the end of a request, in the second in which the request arrived.
    fn end(&mut self, request: &str, line: &LogLine<'_>, change: impl Fn(&mut RequestCounts)) {
        self.count(request, line, change);
        self.open.remove(request);
    }

    /// Applies `change` to the counts of the request's route, data centre and second.
    fn count(&mut self, request: &str, line: &LogLine<'_>, change: impl Fn(&mut RequestCounts)) {
        let arrived_ms = self
            .open
            .get(request)
            .map_or(line.at_ms, |open| open.arrived_ms);
        let route = self.route_of(request);
        let data_centre = self
            .data_centre
            .as_deref()
            .unwrap_or(UNKNOWN_NAME)
            .to_owned();
        let second = arrived_ms / MS_PER_SECOND;
        let first = *self.first_second.get_or_insert(second);
        change(&mut self.report.routes.entry(route).or_default().counts);
        change(self.report.centres.entry(data_centre).or_default());
        // The clocks of hosts differ. A request before the first second counts in the first second.
        let offset = second.saturating_sub(first);
        change(self.report.seconds.entry(offset).or_default());
    }

    fn route_of(&self, request: &str) -> String {
        let open = self.open.get(request);
        open.map_or_else(|| UNKNOWN_NAME.to_owned(), |open| open.route.clone())
    }

    fn call_sent(&mut self, line: &LogLine<'_>) {
        let call = self.service(line);
        call.calls += 1;
        if let Some(PieceField::Number(pieces)) = line.pieces {
            call.pieces += pieces;
        }
        call.repeated += line.repeated.unwrap_or(0);
        call.waiting += line.waiting.unwrap_or(0);
    }

    fn call_ended(&mut self, line: &LogLine<'_>) {
        let call = self.service(line);
        call.made += line.made.unwrap_or(0);
        call.no_room += line.no_room.unwrap_or(0);
        call.input_gone += line.input_gone.unwrap_or(0);
        call.took_ms += line.took_ms.unwrap_or(0.0);
        call.expected_ms += line.expected_ms.unwrap_or(0.0);
    }

    fn service(&mut self, line: &LogLine<'_>) -> &mut CallCounts {
        let service = line.service.as_deref().unwrap_or(UNKNOWN_NAME).to_owned();
        self.report.services.entry(service).or_default()
    }

    /// Drops open requests whose ends will not follow.
    fn drop_old(&mut self, now_ms: u64) {
        if self.open.len() > SWEEP_THRESHOLD {
            let oldest = now_ms.saturating_sub(MAX_OPEN_MS);
            self.open.retain(|_, open| open.arrived_ms >= oldest);
        }
    }
}
