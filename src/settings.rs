//! Parses the settings, as the simulator's `begin` and the proxy's configuration contain them, into
//! the module's `Settings`, together with the names that only the socket protocols need.

use crate::interface::*;
use serde_json::Value;

type ParseResult<T> = Result<T, String>;

fn lookup<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn typed<T>(
    v: Option<&Value>,
    path: &str,
    want: &str,
    as_t: impl Fn(&Value) -> Option<T>,
) -> ParseResult<Option<T>> {
    v.map(|v| as_t(v).ok_or_else(|| format!("settings: {path} is not {want}"))).transpose()
}

fn number(v: &Value, path: &str) -> ParseResult<Option<f64>> {
    typed(lookup(v, path), path, "a number of 0 or more", |v| v.as_f64().filter(|x| (0.0..1e12).contains(x)))
}

fn flag(v: &Value, path: &str) -> ParseResult<Option<bool>> {
    typed(lookup(v, path), path, "true or false", Value::as_bool)
}

fn text(v: &Value, path: &str) -> ParseResult<Option<String>> {
    typed(lookup(v, path), path, "a string", |v| v.as_str().map(str::to_owned))
}

fn list<'a>(v: &'a Value, path: &str) -> ParseResult<&'a [Value]> {
    match lookup(v, path) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| format!("settings: {path} is not a list")),
    }
}

fn required<T>(v: Option<T>, path: &str) -> ParseResult<T> {
    v.ok_or_else(|| format!("settings: {path} is missing"))
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Adds the list index to an error about one of its elements.
fn in_list_item<T>(list: &str, i: usize, r: ParseResult<T>) -> ParseResult<T> {
    r.map_err(|e| e.replacen("settings: ", &format!("settings: {list}[{i}]."), 1))
}

/// An optional list of indices into another list of the settings.
fn indices<T>(v: &Value, path: &str, id: impl Fn(u16) -> T) -> ParseResult<Option<Vec<T>>> {
    let one = |x: &Value| x.as_u64().and_then(|x| u16::try_from(x).ok()).map(&id);
    typed(lookup(v, path), path, "a list of positions", |v| v.as_array()?.iter().map(one).collect())
}

fn class(v: &Value) -> ParseResult<Class> {
    let repeat = match required(text(v, "repeat")?, "repeat")?.as_str() {
        "retryable" => Repeat::Retryable,
        "dedup" => Repeat::Dedup,
        "fragile" => Repeat::Fragile,
        _ => return Err("settings: repeat is none of retryable, dedup, fragile".into()),
    };
    let group = match text(v, "group")?.as_deref() {
        None | Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        _ => return Err("settings: group is none of all, zone, cell".into()),
    };
    Ok(Class {
        target_latency: micros(required(number(v, "onTimeMs")?, "onTimeMs")?),
        limit: micros(required(number(v, "hardLimitMs")?, "hardLimitMs")?),
        repeat,
        group,
        window: micros(number(v, "windowMs")?.unwrap_or(0.0)),
        streamed: flag(v, "streamed")?.unwrap_or(false),
        value: number(v, "points")?.unwrap_or(1.0),
        late_value: number(v, "lateValue")?.unwrap_or(0.0),
        keep_order: flag(v, "keepOrder")?.unwrap_or(false),
        zones: indices(v, "zonesOnly", ZoneId)?,
        kinds: indices(v, "flavorsOpen", KindId)?,
    })
}

/// Parses the settings from JSON; an error names the key.
pub fn read(bytes: &[u8]) -> ParseResult<Settings> {
    from_value(&serde_json::from_slice(bytes).map_err(|e| format!("settings: not JSON: {e}"))?)
}

/// The settings with the names behind their indices: the simulator uses indices, the socket
/// protocols use names.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The names of `Settings::columns` in load reports of the socket protocols.
    pub columns: Vec<String>,
}

impl Site {
    pub fn class(&self, id: ClassId) -> Option<&str> {
        self.classes.get(usize::from(id.0)).map(String::as_str)
    }

    pub fn tenant(&self, id: TenantId) -> Option<&str> {
        self.tenants.get(id.0 as usize).map(String::as_str)
    }
}

/// Parses the settings of a configuration.
pub fn site(v: &Value) -> ParseResult<Site> {
    let settings = from_value(v)?;
    let names = |path: &str, key: Option<&str>| {
        let name = |x: &Value| key.map_or(Some(x), |k| x.get(k)).and_then(Value::as_str).map(str::to_owned);
        let named = list(v, path)?.iter().map(name).collect::<Option<Vec<_>>>();
        named.ok_or_else(|| format!("settings: {path} has an entry without a name"))
    };
    let socket_name = |c: String| match c.as_str() {
        "cpu" => "util".to_owned(),
        "avg_ms" => "latency_ms".to_owned(),
        "active" => "inflight".to_owned(),
        "waiting" => "queue".to_owned(),
        "rps" => "qps".to_owned(),
        "err_rps" => "eps".to_owned(),
        _ => c,
    };
    Ok(Site {
        settings,
        classes: names("classes", Some("name"))?,
        tenants: names("tenants", Some("name"))?,
        zones: names("zones", None)?,
        kinds: names("flavors", None)?,
        columns: names("stats.columns", None)?.into_iter().map(socket_name).collect(),
    })
}

fn from_value(v: &Value) -> ParseResult<Settings> {
    if !v.is_object() {
        return Err("settings: not a JSON object".into());
    }
    let required_number = |path: &str| required(number(v, path)?, path);
    let ms = |path: &str| Ok::<_, String>(micros(required_number(path)?));
    let ms_or = |path: &str, or: Micros| Ok::<_, String>(number(v, path)?.map_or(or, micros));
    let d = Settings::default();

    let class_list = list(v, "classes")?;
    if class_list.is_empty() {
        return Err("settings: classes is missing or empty".into());
    }
    let classes = class_list
        .iter()
        .enumerate()
        .map(|(i, c)| in_list_item("classes", i, class(c)))
        .collect::<ParseResult<Vec<_>>>()?;
    let quotas = list(v, "tenants")?
        .iter()
        .enumerate()
        // Without a value there is no quota, as opposed to a quota of 0.
        .map(|(i, t)| in_list_item("tenants", i, number(t, "quotaPerS").map(|q| q.unwrap_or(f64::INFINITY))))
        .collect::<ParseResult<Vec<_>>>()?;
    let columns = list(v, "stats.columns")?
        .iter()
        .map(|c| match c.as_str() {
            Some("cpu") => Column::Utilisation,
            Some("avg_ms") => Column::ServiceMs,
            Some("active") => Column::InFlight,
            Some("waiting") => Column::Waiting,
            Some("rps") => Column::Rate,
            Some("err_rps") => Column::Errors,
            _ => Column::Other,
        })
        .collect();
    let reports = match text(v, "stats.source")?.as_deref() {
        Some("inline") => ReportSource::Inline,
        Some("on_probe") => ReportSource::Probe,
        None | Some("off") => ReportSource::Off,
        _ => return Err("settings: stats.source is none of inline, on_probe, off".into()),
    };
    let must_subscribe = match text(v, "discovery")?.as_deref() {
        None | Some("automatic") => false,
        Some("subscribe") => true,
        _ => return Err("settings: discovery is none of automatic, subscribe".into()),
    };
    let origin_kind = match text(v, "familyInfo.mode")?.as_deref() {
        Some("aside") => Some(KindId(required_number("familyInfo.originKind")? as u16)),
        _ => None,
    };
    let max_retry_after = match flag(v, "limits.retryAfter")? {
        Some(true) => Some(ms_or("limits.maxRetryAfterMs", 1_000_000)?),
        _ => None,
    };
    Ok(Settings {
        routers: number(v, "balancers")?.unwrap_or(1.0).max(1.0) as u32,
        router_index: number(v, "me")?.unwrap_or(0.0) as u32,
        zone: ZoneId(number(v, "zone")?.unwrap_or(0.0) as u16),
        classes,
        quotas,
        over_quota_value: number(v, "overShareWorth")?.unwrap_or(d.over_quota_value),
        must_subscribe,
        origin_kind,
        columns,
        reports,
        may_cancel: flag(v, "limits.cancelling")?.unwrap_or(false),
        may_probe: flag(v, "limits.probes")?.unwrap_or(false),
        probe_price: number(v, "charges.probe")?.unwrap_or(0.0),
        may_copy: flag(v, "limits.secondCopies")?.unwrap_or(false),
        // Attempts of a request are numbered in one byte, here and on the wire.
        max_attempts: (required_number("limits.maxAttempts")? as u32).min(u8::MAX.into()),
        max_open: number(v, "limits.maxOpen")?.map_or(d.max_open, |x| x as u32),
        max_retry_after,
        connect_timeout: ms_or("limits.dialTimeoutMs", d.connect_timeout)?,
        keep_alive: ms_or("limits.keepaliveMs", d.keep_alive)?,
        period: ms_or("periodMs", d.period)?,
        answer_grace: ms_or("rules.graceToAnswerMs", d.answer_grace)?,
        discovery_retry_limit: ms_or("rules.askWithinMs", d.discovery_retry_limit)?,
        slow_start_from: required_number("rules.coldFrom")?,
        slow_start_duration: ms("rules.coldMs")?,
        overload_multiple: required_number("rules.fallMultiple")?,
        overload_window: ms("rules.overloadForMs")?,
        drain_grace: ms_or("rules.drainGraceMs", d.drain_grace)?,
        drain_close: number(v, "rules.drainCloseMs")?.map(micros),
        order_settle: ms_or("rules.orderSettleMs", d.order_settle)?,
    })
}
