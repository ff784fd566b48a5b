//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are integer microseconds on the caller's monotonic clock. Ids carry no meaning.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    };
}
id!(/** A client's request; each try of a client has its own id. */ RequestId, u64);
id!(/** A server, as identified by discovery. */ ServerId, u64);
id!(/** The object that a request accesses; 0 means none. */ Key, u64);
id!(/** Index into `Settings::classes`. */ ClassId, u16);
id!(/** Index into `Settings::quotas`. */ TenantId, u32);
id!(/** Index into the deployment's list of zones. */ ZoneId, u16);
id!(/** Index into the deployment's list of machine kinds. */ KindId, u16);
id!(/** A small set of servers that share one deduplication table of keyed requests. */ CellId, u16);
id!(/** Identifies a timer; chosen by the module. */ Token, u64);

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Safe to run again on any server.
    #[default]
    Retryable,
    /// Servers of one `Group` drop repeats for `Class::window`.
    Dedup,
    /// Must never run twice.
    Fragile,
}

/// The servers that drop each other's repeats of a `Repeat::Dedup` request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

/// A class of requests and its requirements.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full value.
    pub target_latency: Micros,
    /// The total time that a client waits, over all its tries; the deadline of one try is
    /// `Request::deadline`.
    pub limit: Micros,
    pub repeat: Repeat,
    pub group: Group,
    /// How long repeats are dropped, from the first send that may have run.
    pub window: Micros,
    /// The answer is streamed: `Event::First` reports its first part.
    pub streamed: bool,
    /// Value of a request, and the fraction of it that an answer after the target latency still
    /// earns.
    pub value: f64,
    pub late_value: f64,
    /// Requests with the same key run one at a time, in the order in which this router received
    /// them.
    pub keep_order: bool,
    /// The only zones and kinds of machine to which it may be sent (except the origin); `None`
    /// allows all.
    pub zones: Option<Vec<ZoneId>>,
    pub kinds: Option<Vec<KindId>>,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            target_latency: 500_000,
            limit: 1_000_000,
            repeat: Repeat::Retryable,
            group: Group::All,
            window: 0,
            streamed: false,
            value: 1.0,
            late_value: 0.0,
            keep_order: false,
            zones: None,
            kinds: None,
        }
    }
}

/// Which messages carry load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Outcomes and probe results.
    #[default]
    Inline,
    /// Probe results only.
    Probe,
    Off,
}

/// A column of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Fraction of the cores in use.
    Utilisation,
    /// Recent service time in ms, without queueing.
    ServiceMs,
    /// Requests being handled, and requests queued.
    InFlight,
    Waiting,
    /// Requests and errors per second.
    Rate,
    Errors,
    /// A value that this module does not use.
    Other,
}

/// The configuration of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of routers including this one, and its index.
    pub routers: u32,
    pub router_index: u32,
    pub zone: ZoneId,
    pub classes: Vec<Class>,
    /// Requests per second within each tenant's share, over all routers; infinite if there is no
    /// quota.
    pub quotas: Vec<f64>,
    /// Value of a request beyond its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// The list of servers is only sent to subscribers.
    pub must_subscribe: bool,
    /// Kind of the list entries that are origins from which the routers, not the caches, fetch on a
    /// miss (cache-aside).
    pub origin_kind: Option<KindId>,
    pub columns: Vec<Column>,
    pub reports: ReportSource,
    /// What the deployment permits.
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Cost of a probe, as a fraction of the service time of a request.
    pub probe_price: f64,
    pub may_copy: bool,
    pub max_attempts: u32,
    /// Maximum number of client requests open at this router.
    pub max_open: u32,
    /// The longest retry delay that clients honour; `None` if they honour none.
    pub max_retry_after: Option<Micros>,
    pub connect_timeout: Micros,
    pub keep_alive: Micros,
    /// Minimum time between two batches of events; deadlines are met with this margin.
    pub period: Micros,
    /// Parameters of the rules by which a deployment is judged, up to `overload_window`. This one:
    /// how late the final answer of a request may be.
    pub answer_grace: Micros,
    /// The longest back-off between discovery calls.
    pub discovery_retry_limit: Micros,
    /// Fraction of its capacity that a server has when it starts, 0 to 1, and the time in which that
    /// rises to 1.
    pub slow_start_from: f64,
    pub slow_start_duration: Micros,
    /// Attempts that a server in slow start may receive within the window, as a multiple of its
    /// capacity, and the window.
    pub overload_multiple: f64,
    pub overload_window: Micros,
    /// No new request goes to a server later than this after the notice that it is draining or gone.
    pub drain_grace: Micros,
    /// Idle connections to a draining server must be closed within this time; `None` if no rule
    /// requires it.
    pub drain_close: Option<Micros>,
    /// How long the next request of an ordered key is held back after an attempt that may still run.
    pub order_settle: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routers: 1,
            router_index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_value: 1.0,
            must_subscribe: false,
            origin_kind: None,
            columns: vec![Column::Utilisation],
            reports: ReportSource::Inline,
            may_cancel: false,
            may_probe: false,
            probe_price: 0.0,
            may_copy: false,
            max_attempts: 3,
            max_open: 20_000,
            max_retry_after: None,
            connect_timeout: 250_000,
            keep_alive: 15_000_000,
            period: 1_000,
            answer_grace: 5_000,
            discovery_retry_limit: 10_000_000,
            slow_start_from: 0.2,
            slow_start_duration: 20_000_000,
            overload_multiple: 3.0,
            overload_window: 1_000_000,
            drain_grace: 2_500_000,
            drain_close: None,
            order_settle: 0,
        }
    }
}

/// The contents of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known to this router, possibly stale; the first event of an
    /// instance.
    Cached,
    /// A call failed or the subscription broke; there are no entries and the old list stays in use.
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    pub server: ServerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub phase: Phase,
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Micros>,
}

impl Member {
    /// A warm server of weight 1.
    pub fn ready(server: ServerId) -> Self {
        Member { server, weight: 1.0, ..Member::default() }
    }

    /// The time since it started.
    pub fn age(&self, now: Micros) -> Micros {
        self.started.map_or(Micros::MAX, |t| (now - t).max(0))
    }
}

/// A request received from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: TenantId,
    pub key: Key,
    pub write: bool,
    /// Marked by the client as a retry, where clients do so.
    pub repeat: bool,
    /// When the client gives up this try.
    pub deadline: Micros,
    /// Expected work in microseconds of a standard core, if known.
    pub hint: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// Refused by the server without being run.
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
    /// The cache does not hold the key.
    Miss,
}

impl Verdict {
    /// Whether this verdict proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot | Verdict::Miss)
    }
}

/// The outcome of an attempt; exactly one for each `Action::Send`.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub request: RequestId,
    pub attempt: u8,
    pub server: ServerId,
    pub verdict: Verdict,
    pub elapsed: Micros,
    /// The request has received its final answer.
    pub finished: bool,
    /// Refused by a server that has no room for another connection: it closed the new connection
    /// right after its answer.
    pub no_place: bool,
    /// 1 hit, 2 miss, 3 miss while a fetch of the key is already in flight.
    pub note: u32,
    /// Values in the order of `Settings::columns`; empty if there was no report.
    pub report: Vec<f32>,
}

impl Outcome {
    /// Whether the attempt may still be running after this outcome.
    pub fn may_still_run(&self) -> bool {
        matches!(self.verdict, Verdict::Timeout | Verdict::Reset | Verdict::Cancelled)
    }

    /// Whether the connection failed: that puts no load on the server and does not show how busy it
    /// is.
    pub fn connection_failed(&self) -> bool {
        matches!(self.verdict, Verdict::Reset | Verdict::ConnectFailed) || self.no_place
    }

    /// Whether the server's process responded, even with a refusal. A refused connection may mean
    /// that the process is gone or that it holds too many connections.
    pub fn process_responded(&self) -> bool {
        matches!(self.verdict, Verdict::Served | Verdict::Miss | Verdict::Full | Verdict::Error)
    }
}

/// A server's terms as planners calculated them for the fleet; `trust` is their weight against this
/// router's own estimate, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannedTerms {
    pub server: ServerId,
    pub rho: f64,
    pub service: f64,
    pub arrival_scv: f64,
    pub service_scv: f64,
    pub trust: f64,
}

/// Information from planners, weighted by its age. Each plan replaces the previous one; the default
/// carries none. It says nothing about readiness, which only the list does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Servers that should receive only a fraction of their keys, with that fraction; 0 for a server
    /// that is unresponsive or unreachable.
    pub key_fractions: Vec<(ServerId, f64)>,
    pub solved: Vec<PlannedTerms>,
    /// Weight of the fields below against this router's own estimates, 0 to 1.
    pub trust: f64,
    /// This router's fraction of each tenant's quota, 0 to 1.
    pub quotas: Vec<f64>,
    /// Factor on this router's rate of attempts at servers in slow start, 0 to 1.
    pub slow_start_fraction: f64,
    /// This router's share of the fetches that may be in flight at origins, in requests.
    pub fetches: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Members {
        form: ListForm,
        entries: Vec<Member>,
    },
    Request(Request),
    First {
        request: RequestId,
        attempt: u8,
    },
    Outcome(Outcome),
    ClientLeft(RequestId),
    /// The deadline of a request has moved up because this router shuts down.
    Sooner(RequestId, Micros),
    Timer(Token),
    Probed {
        server: ServerId,
        verdict: Verdict,
        elapsed: Micros,
        report: Vec<f32>,
    },
    /// The latest information from planners, where there are any.
    Plan(Plan),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; the attempts of a request are numbered 0, 1, 2 ... in this order. With
    /// `timeout: None` it runs until the client gives up. An attempt that has not begun by
    /// `begin_by` is never sent: a request that may have run before must not be repeated from then
    /// on.
    Send {
        request: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        begin_by: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        request: RequestId,
        attempt: u8,
    },
    /// Final answer: refused, and safe to retry.
    Refuse {
        request: RequestId,
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about a retry.
    Fail {
        request: RequestId,
    },
    Timer {
        after: Micros,
        token: Token,
    },
    Probe {
        server: ServerId,
    },
    /// Close the idle connections to a server.
    Release {
        server: ServerId,
    },
    /// Request the whole list from discovery once, or subscribe to changes.
    List,
    Subscribe,
}

/// The module's assessment of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Serving,
    /// In slow start.
    Cold,
    /// Listed as draining.
    Draining,
    /// Accepts requests and does not answer.
    Silent,
    /// Evicted after consecutive failures: only a fraction of the requests try it.
    Evicted,
}

/// The status of a server, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    pub server: ServerId,
    pub health: Health,
    /// Attempts in flight to it.
    pub out: u32,
    /// Utilisation as last reported, or as inferred from a later refusal or time-out, and when.
    pub rho: Option<(f64, Micros)>,
}

/// The status of the origin, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OriginStatus {
    /// At least one origin is not evicted, silent or draining.
    pub available: bool,
    /// Attempts in flight, the limit on them, and requests queued for the origin.
    pub out: u32,
    pub window: f64,
    pub waiting: u32,
    /// Recent mean response time, and its ratio to the best one seen.
    pub mean_latency: Option<Micros>,
    pub latency_ratio: f64,
    /// Fraction of recent attempts that were refused or took too long.
    pub failure_ratio: f64,
}

/// The status of a server in slow start, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// The fraction of its capacity that it is sure to have by now, 0 to 1.
    pub ramp: f64,
    /// Attempts available for it at this router.
    pub allowance: f64,
    /// Attempts per second issued to this router for it.
    pub rate: f64,
}

impl std::fmt::Display for SlowStartStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SlowStartStatus { ramp, allowance, rate } = self;
        write!(f, "ramp {ramp:.2} allowance {allowance:.2} rate {rate:.2}/s")
    }
}
