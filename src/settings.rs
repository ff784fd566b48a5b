//! The settings, as the simulator's `begin` and the proxy's configuration hold them, as the module's
//! `Settings`, and the names in them that only sockets need.

use crate::interface::*;
use serde_json::Value;

type Read<T> = Result<T, String>;

fn at<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn typed<T>(
    v: Option<&Value>,
    path: &str,
    want: &str,
    as_t: impl Fn(&Value) -> Option<T>,
) -> Read<Option<T>> {
    v.map(|v| as_t(v).ok_or_else(|| format!("settings: {path} is not {want}"))).transpose()
}

fn number(v: &Value, path: &str) -> Read<Option<f64>> {
    typed(at(v, path), path, "a number of 0 or more", |v| v.as_f64().filter(|x| (0.0..1e12).contains(x)))
}

fn flag(v: &Value, path: &str) -> Read<Option<bool>> {
    typed(at(v, path), path, "true or false", Value::as_bool)
}

fn text(v: &Value, path: &str) -> Read<Option<String>> {
    typed(at(v, path), path, "a text", |v| v.as_str().map(str::to_owned))
}

fn list<'a>(v: &'a Value, path: &str) -> Read<&'a [Value]> {
    match at(v, path) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| format!("settings: {path} is not a list")),
    }
}

fn need<T>(v: Option<T>, path: &str) -> Read<T> {
    v.ok_or_else(|| format!("settings: {path} is missing"))
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Names the list position in an error about an element.
fn inside<T>(list: &str, i: usize, r: Read<T>) -> Read<T> {
    r.map_err(|e| e.replacen("settings: ", &format!("settings: {list}[{i}]."), 1))
}

/// A list of positions in another list of the settings, where present.
fn positions<T>(v: &Value, path: &str, id: impl Fn(u16) -> T) -> Read<Option<Vec<T>>> {
    let one = |x: &Value| x.as_u64().and_then(|x| u16::try_from(x).ok()).map(&id);
    typed(at(v, path), path, "a list of positions", |v| v.as_array()?.iter().map(one).collect())
}

fn class(v: &Value) -> Read<Class> {
    let repeat = match need(text(v, "repeat")?, "repeat")?.as_str() {
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
        target_latency: micros(need(number(v, "onTimeMs")?, "onTimeMs")?),
        limit: micros(need(number(v, "hardLimitMs")?, "hardLimitMs")?),
        repeat,
        group,
        window: micros(number(v, "windowMs")?.unwrap_or(0.0)),
        streamed: flag(v, "streamed")?.unwrap_or(false),
        value: number(v, "points")?.unwrap_or(1.0),
        late_value: number(v, "lateValue")?.unwrap_or(0.0),
        keep_order: flag(v, "keepOrder")?.unwrap_or(false),
        zones: positions(v, "zonesOnly", ZoneId)?,
        kinds: positions(v, "flavorsOpen", KindId)?,
    })
}

/// Reads the settings; an error names the key.
pub fn read(bytes: &[u8]) -> Read<Settings> {
    from_value(&serde_json::from_slice(bytes).map_err(|e| format!("settings: not JSON: {e}"))?)
}

/// The settings with the names that stand for positions in them: the simulator passes positions, sockets names.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The names of `Settings::columns` in load reports on sockets.
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

/// Reads the settings of a configuration.
pub fn site(v: &Value) -> Read<Site> {
    let settings = from_value(v)?;
    let names = |path: &str, key: Option<&str>| {
        let name = |x: &Value| key.map_or(Some(x), |k| x.get(k)).and_then(Value::as_str).map(str::to_owned);
        let named = list(v, path)?.iter().map(name).collect::<Option<Vec<_>>>();
        named.ok_or_else(|| format!("settings: {path} holds something without a name"))
    };
    let on_sockets = |c: String| match c.as_str() {
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
        columns: names("stats.columns", None)?.into_iter().map(on_sockets).collect(),
    })
}

fn from_value(v: &Value) -> Read<Settings> {
    if !v.is_object() {
        return Err("settings: not a JSON object".into());
    }
    let needed = |path: &str| need(number(v, path)?, path);
    let ms = |path: &str| Ok::<_, String>(micros(needed(path)?));
    let ms_or = |path: &str, or: Micros| Ok::<_, String>(number(v, path)?.map_or(or, micros));
    let d = Settings::default();

    let class_list = list(v, "classes")?;
    if class_list.is_empty() {
        return Err("settings: classes is missing or empty".into());
    }
    let classes = class_list
        .iter()
        .enumerate()
        .map(|(i, c)| inside("classes", i, class(c)))
        .collect::<Read<Vec<_>>>()?;
    let quotas = list(v, "tenants")?
        .iter()
        .enumerate()
        // Without a figure there is no quota: not one of nothing.
        .map(|(i, t)| inside("tenants", i, number(t, "quotaPerS").map(|q| q.unwrap_or(f64::INFINITY))))
        .collect::<Read<Vec<_>>>()?;
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
        Some("aside") => Some(KindId(needed("familyInfo.originKind")? as u16)),
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
        // Attempts of a request are numbered in a byte, here and on the wire.
        max_attempts: (needed("limits.maxAttempts")? as u32).min(u8::MAX.into()),
        max_open: number(v, "limits.maxOpen")?.map_or(d.max_open, |x| x as u32),
        max_retry_after,
        connect_timeout: ms_or("limits.dialTimeoutMs", d.connect_timeout)?,
        keep_alive: ms_or("limits.keepaliveMs", d.keep_alive)?,
        period: ms_or("periodMs", d.period)?,
        answer_grace: ms_or("rules.graceToAnswerMs", d.answer_grace)?,
        discovery_retry_limit: ms_or("rules.askWithinMs", d.discovery_retry_limit)?,
        slow_start_from: needed("rules.coldFrom")?,
        slow_start_duration: ms("rules.coldMs")?,
        overload_multiple: needed("rules.fallMultiple")?,
        overload_window: ms("rules.overloadForMs")?,
        drain_grace: ms_or("rules.drainGraceMs", d.drain_grace)?,
        drain_close: number(v, "rules.drainCloseMs")?.map(micros),
        order_settle: ms_or("rules.orderSettleMs", d.order_settle)?,
    })
}
