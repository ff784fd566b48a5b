//! The whole interface of the decision module: settings, events in, actions out.
//!
//! Times are integer microseconds on the caller's clock, which never goes back. Ids carry no meaning.

/// A moment or a span, in microseconds.
pub type Micros = i64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    };
}
id!(/** A client's request; each try of a client has an id of its own. */ RequestId, u64);
id!(/** A server, as discovery names it. */ ServerId, u64);
id!(/** The object a request is about; 0 is none. */ Key, u64);
id!(/** Position in `Settings::classes`. */ ClassId, u16);
id!(/** Position in `Settings::tenants`. */ TenantId, u32);
id!(/** Position in the site's list of zones. */ ZoneId, u16);
id!(/** Position in the site's list of machine kinds. */ KindId, u16);
id!(/** A small set of servers that share which keyed requests they have seen. */ CellId, u16);
id!(/** What a timer was set for; chosen by the module. */ Token, u64);

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Safe to run again anywhere.
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

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub target_latency: Micros,
    /// The time a client waits in all, over its tries; one try's deadline is `Request::deadline`.
    pub limit: Micros,
    pub repeat: Repeat,
    pub group: Group,
    /// How long a repeat is dropped, from the first send that may have run.
    pub window: Micros,
    /// The answer is streamed: `Event::First` tells that it has begun.
    pub streamed: bool,
    /// Worth of a request, and the part of it an answer after the aim still earns.
    pub value: f64,
    pub late_value: f64,
    /// Requests with one key run one at a time, in the order in which this router took them.
    pub keep_order: bool,
    /// The only zones and kinds of machine it may be sent to (the origin aside); `None` leaves them free.
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

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and probe results.
    #[default]
    Inline,
    /// With probe results alone.
    Probe,
    Off,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Fraction of the cores in use.
    Utilisation,
    /// Recent service time in ms, without waiting.
    ServiceMs,
    /// Requests being handled, and requests queued.
    InFlight,
    Waiting,
    /// Requests and errors a second.
    Rate,
    Errors,
    /// Anything this module has no use for.
    Other,
}

/// What a router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many routers there are, this one among them, and its number.
    pub routers: u32,
    pub router_index: u32,
    pub zone: ZoneId,
    pub classes: Vec<Class>,
    /// Requests a second within each tenant's share, over all routers; infinite where there is none.
    pub quotas: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// The list of servers is only told to those who ask.
    pub must_subscribe: bool,
    /// Kind of the list entries that are origins, where routers fetch for themselves (aside mode).
    pub origin_kind: Option<KindId>,
    pub columns: Vec<Column>,
    pub reports: ReportSource,
    /// What the site permits.
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Price of a probe for each request, as a part of the service.
    pub probe_price: f64,
    pub may_copy: bool,
    pub max_attempts: u32,
    pub max_open: u32,
    /// Longest advice to stay away that clients honour; `None` where they hear none.
    pub max_retry_after: Option<Micros>,
    pub connect_timeout: Micros,
    pub keep_alive: Micros,
    /// Least time between two batches of events.
    pub period: Micros,
    /// Figures of the rules.
    pub answer_grace: Micros,
    pub discovery_retry_limit: Micros,
    pub slow_start_from: f64,
    pub slow_start_duration: Micros,
    pub overload_multiple: f64,
    pub overload_window: Micros,
    /// Nothing new goes to a server later than this after the word that it drains or is gone.
    pub drain_grace: Micros,
    /// Idle connections to a draining server must be closed within this time; `None` where no rule asks it.
    pub drain_close: Option<Micros>,
    /// How long a key in order rests after an attempt that may still run.
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

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held by this router, perhaps stale; the first event of an instance.
    Cached,
    /// A call failed or the subscription broke; no entries, the old list stands.
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// A list entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    pub server: ServerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub phase: Phase,
    pub weight: f64,
    /// When it last started; `None` is long ago.
    pub started: Option<Micros>,
}

impl Member {
    /// A warm server of weight 1.
    pub fn ready(server: ServerId) -> Self {
        Member { server, weight: 1.0, ..Member::default() }
    }

    /// How long ago it started.
    pub fn age(&self, now: Micros) -> Micros {
        self.started.map_or(Micros::MAX, |t| (now - t).max(0))
    }
}

/// A request taken from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: TenantId,
    pub key: Key,
    pub write: bool,
    /// A client's repeat, where clients mark them.
    pub repeat: bool,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// Expected work in microseconds of a standard core, where the site tells it.
    pub hint: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// Turned away unseen.
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
    /// The cache lacks the key.
    Miss,
}

impl Verdict {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot | Verdict::Miss)
    }
}

/// An attempt's outcome; exactly one for each `Action::Send`.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub request: RequestId,
    pub attempt: u8,
    pub server: ServerId,
    pub verdict: Verdict,
    pub elapsed: Micros,
    /// The request has had its final answer.
    pub finished: bool,
    /// Turned away by a server that has no place for another connection: it closed the new one right behind that.
    pub no_place: bool,
    /// 1 hit, 2 miss, 3 miss while another fetch of the key is out.
    pub note: u32,
    /// Values in the order of `Settings::columns`; empty where none came.
    pub report: Vec<f32>,
}

impl Outcome {
    /// Whether the attempt may still run after this outcome.
    pub fn may_still_run(&self) -> bool {
        matches!(self.verdict, Verdict::Timeout | Verdict::Reset | Verdict::Cancelled)
    }

    /// Whether it was the connection that failed: that is no load on the server, and says nothing of how busy it is.
    pub fn connection_failed(&self) -> bool {
        matches!(self.verdict, Verdict::Reset | Verdict::ConnectFailed) || self.no_place
    }

    /// Whether the server's process said something, be it that it would not. A refused connection may be that of a
    /// process that is gone, or of one that holds too many.
    pub fn process_responded(&self) -> bool {
        matches!(self.verdict, Verdict::Served | Verdict::Miss | Verdict::Full | Verdict::Error)
    }
}

/// A server's terms as planners solved them for the fleet, and the trust in them, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannedTerms {
    pub server: ServerId,
    pub rho: f64,
    pub service: f64,
    pub arrival_scv: f64,
    pub service_scv: f64,
    pub trust: f64,
}

/// What planners say, faded by its age. Each takes the place of the one before; the default says nothing.
/// It says nothing of readiness: that is the list's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Servers that take less than all of their keys, and the part that they take; 0 is silent or cut off.
    pub key_fractions: Vec<(ServerId, f64)>,
    pub solved: Vec<PlannedTerms>,
    /// Trust in the parts below, 0 to 1.
    pub trust: f64,
    /// This router's part of each tenant's quota, 0 to 1.
    pub quotas: Vec<f64>,
    /// How much of its own part of servers in slow start it may use, 0 to 1.
    pub cold: f64,
    /// Its part of what may be out at origins, in requests.
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
    /// A request has less time than it came with: this router ends.
    Sooner(RequestId, Micros),
    Timer(Token),
    Probed {
        server: ServerId,
        verdict: Verdict,
        elapsed: Micros,
        report: Vec<f32>,
    },
    /// What planners say stands now, where there are any.
    Plan(Plan),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request are numbered 0, 1, 2 ... in this order.
    /// `None` lets it run until the client gives up. One that has not begun by `begin_by` never does: what may
    /// have run before must not be sent again from then on.
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
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        request: RequestId,
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, promising nothing.
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
    /// Ask discovery for the whole list once, or for changes from now on.
    List,
    Subscribe,
}

/// What the module makes of a server that is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Serving,
    /// Within its cold time.
    Cold,
    /// Listed as draining.
    Draining,
    /// Takes requests and says nothing.
    Silent,
    /// Failed in a row: tried by a part of the requests only.
    Evicted,
}

/// A server as the module sees it, for those who watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    pub server: ServerId,
    pub health: Health,
    /// Attempts out there.
    pub out: u32,
    /// Utilisation as last reported, or as taken from a refusal or a time-out since, and when.
    pub rho: Option<(f64, Micros)>,
}

/// The origin as the module sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OriginStatus {
    /// Some origin is neither left out nor silent nor draining.
    pub available: bool,
    /// Attempts out there, how many may be, and requests that wait for a place.
    pub out: u32,
    pub window: f64,
    pub waiting: u32,
    /// Mean time of its answers lately, and that over the best it has been.
    pub pace: Option<Micros>,
    pub strain: f64,
    /// The part of what was sent lately that was turned away or took too long.
    pub failing: f64,
}

/// What the module makes of a server in slow start, for those who watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// The part of its capacity that it is sure to have by now, 0 to 1.
    pub ramp: f64,
    /// Attempts at hand for it at this router.
    pub allowance: f64,
    /// Attempts a second that this router is issued there.
    pub rate: f64,
}

impl std::fmt::Display for SlowStartStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SlowStartStatus { ramp, allowance, rate } = self;
        write!(f, "ramp {ramp:.2} allowance {allowance:.2} rate {rate:.2}/s")
    }
}
