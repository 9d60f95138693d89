use {
    crate::{
        caller::LoadProfile,
        scenario::script::{
            Action, End, Expectation, FaultKind, PlannedLoad, Script, Selector, Setting, Step,
        },
    },
    oriolehoist_time::Millis,
    std::fmt,
};

/// A line of a scenario that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The line, counted from 1.
    pub line: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for ParseError {}

type Parsed<T> = Result<T, String>;

/// Parses a scenario.
///
/// # Errors
///
/// Returns the first line that can't be understood.
pub fn parse(text: &str) -> Result<Script, ParseError> {
    let mut script = Script {
        site: "villacres".into(),
        daemons: 4,
        list_lag: Millis(1000),
        service_extra: String::new(),
        loads: Vec::new(),
        steps: Vec::new(),
        expectations: Vec::new(),
    };
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        if !words.is_empty() {
            let fail = |expected| ParseError { line: index + 1, expected };
            directive(&mut script, &words).map_err(fail)?;
        }
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn directive(script: &mut Script, words: &[&str]) -> Parsed<()> {
    match words {
        ["site", name] => script.site = (*name).into(),
        ["daemons", count] => script.daemons = whole(count)? as usize,
        ["list", "lags", time] => script.list_lag = millis(time)?,
        ["service", "setting", rest @ ..] => {
            script.service_extra.push_str(&rest.join(" "));
            script.service_extra.push(',');
        }
        ["load", pairs @ ..] => script.loads.push(load(pairs)?),
        ["at", time, action @ ..] => {
            script.steps.push(Step { at: millis(time)?, action: self::action(action)? });
        }
        ["expect", rest @ ..] => script.expectations.push(expectation(rest)?),
        _ => {
            return Err(
                "a directive: site, daemons, servers, list, service, load, at, expect".into()
            );
        }
    }
    Ok(())
}

fn load(pairs: &[&str]) -> Parsed<PlannedLoad> {
    let mut load = PlannedLoad {
        profile: LoadProfile::default(),
        start: Millis::ZERO,
        length: Millis::from_secs(5),
    };
    for pair in pairs {
        let (name, value) = pair.split_once('=').ok_or("name=value")?;
        match name {
            "service" => load.profile.service = value.into(),
            "rate" => load.profile.rate = whole(value)?,
            "keys" => load.profile.key_count = whole(value)?,
            "bookings" => load.profile.booking_percent = whole(value)?,
            "class" => load.profile.class = class(value)?,
            "tenant" => load.profile.workspace = value.into(),
            "deadline" => load.profile.deadline = millis(value)?,
            "work" => load.profile.service_time = Some(millis(value)?),
            "repeat" => load.profile.retry_unknown = value == "yes",
            "seed" => load.profile.seed = whole(value)?,
            "start" => load.start = millis(value)?,
            "for" => load.length = millis(value)?,
            _ => return Err("service, rate, keys, bookings, class, tenant, deadline, work, repeat, seed, start or for".into()),
        }
    }
    Ok(load)
}

fn class(name: &str) -> Parsed<&'static str> {
    ["urgent", "interactive", "bulk"]
        .into_iter()
        .find(|known| *known == name)
        .ok_or_else(|| "urgent, interactive or bulk".into())
}

fn action(words: &[&str]) -> Parsed<Action> {
    Ok(match words {
        ["kill", rest @ ..] => Action::Kill(selector(rest)?),
        ["freeze", rest @ ..] => Action::Freeze(selector(rest)?),
        ["thaw"] => Action::Thaw,
        ["start", "killed"] => Action::StartKilled,
        ["stop", rest @ ..] => Action::Stop(selector(rest)?),
        ["roll", "daemons"] => Action::RollDaemons,
        ["list", "leaving", rest @ ..] => Action::ListLeaving(selector(rest)?),
        ["drain", rest @ ..] => Action::Drain(selector(rest)?),
        ["report", "draining", rest @ ..] => Action::ReportDraining(selector(rest)?),
        ["misreport", rest @ ..] => Action::Misreport(selector(rest)?),
        ["isolate", rest @ ..] => Action::Isolate(selector(rest)?),
        ["heal"] => Action::Heal,
        ["store", "stale"] => Action::StaleStore(true),
        ["store", "fresh"] => Action::StaleStore(false),
        ["set", rest @ ..] => Action::Set(settings(rest)?),
        ["send", "crash", times] => Action::SendCrash(whole(times)? as u32),
        ["fault", "delay", time, rest @ ..] => fault(FaultKind::Delay(millis(time)?), rest)?,
        ["fault", kind, rest @ ..] => fault(fault_kind(kind)?, rest)?,
        _ => return Err("an action".into()),
    })
}

fn fault_kind(name: &str) -> Parsed<FaultKind> {
    Ok(match name {
        "cut" => FaultKind::Cut,
        "silence" => FaultKind::Silence,
        "swallow-requests" => FaultKind::SwallowRequests,
        "swallow-answers" => FaultKind::SwallowAnswers,
        "lose-answers" => FaultKind::LoseAnswers,
        "lose-write-answers" => FaultKind::LoseWriteAnswers,
        "truncate-answers" => FaultKind::TruncateAnswers,
        _ => return Err("a fault".into()),
    })
}

fn fault(kind: FaultKind, words: &[&str]) -> Parsed<Action> {
    let to = words.iter().position(|word| *word == "to").ok_or("from ... to ...")?;
    match words.first() {
        Some(&"from") => Ok(Action::Fault(kind, end(&words[1..to])?, end(&words[to + 1..])?)),
        _ => Err("from ... to ...".into()),
    }
}

fn end(words: &[&str]) -> Parsed<End> {
    Ok(match words {
        ["everyone"] => End::Everyone,
        ["store"] => End::Store,
        ["list"] => End::List,
        rest => End::Of(selector(rest)?),
    })
}

fn selector(words: &[&str]) -> Parsed<Selector> {
    Ok(match words {
        ["owner", "of", key] => Selector::Owner((*key).into()),
        ["servers", "not", "of", key] => Selector::NotOwners((*key).into()),
        ["server", number] => Selector::Server(whole(number)? as usize),
        ["servers"] => Selector::Servers,
        ["assigner"] => Selector::Assigner,
        ["follower"] => Selector::Follower,
        ["followers"] => Selector::Followers,
        ["daemon", number] => Selector::Daemon(whole(number)? as usize),
        ["daemons"] => Selector::Daemons,
        ["zone", number] => Selector::Zone(whole(number)? as usize),
        _ => {
            return Err(
                "owner of KEY, server N, servers, assigner, follower, daemon N, daemons or zone N"
                    .into(),
            );
        }
    })
}

fn settings(words: &[&str]) -> Parsed<Vec<Setting>> {
    let setting = |word: &&str| {
        let (path, value) = word.split_once('=').ok_or("path=value")?;
        Ok(Setting { path: path.into(), value: whole(value)? })
    };
    words.iter().map(setting).collect()
}

fn expectation(words: &[&str]) -> Parsed<Expectation> {
    Ok(match words {
        ["interruption"] => Expectation::Interruption,
        ["served-again", "within", time] => Expectation::ServedAgain(millis(time)?),
        ["served", "at-least", percent] => {
            Expectation::Served(whole(percent.trim_end_matches('%'))?)
        }
        ["no-refusals"] => Expectation::NoRefusals,
        ["refusals", kind] => Expectation::Refusals((*kind).into()),
        ["no-work-after", time] => Expectation::NoLateWork(millis(time)?),
        ["in-force", "within", time] => Expectation::InForceWithin(millis(time)?),
        ["no-version-falls"] => Expectation::NoVersionFalls,
        ["versions", count] => Expectation::Versions(whole(count)?),
        ["head-version", number] => Expectation::HeadVersion(whole(number)?),
        ["crashes", "at-most", count] => Expectation::CrashesAtMost(whole(count)?),
        ["store-calls", "at-most", count] => Expectation::StoreCalls(whole(count)?),
        ["runs-at", key, server] => Expectation::RunsAt((*key).into(), (*server).into()),
        ["moves", "at-most", count] => Expectation::MovesAtMost(whole(count)?),
        ["moves", "at-least", count] => Expectation::MovesAtLeast(whole(count)?),
        _ => return Err("an expectation".into()),
    })
}

fn whole(text: &str) -> Parsed<u64> {
    text.parse().map_err(|_| "a whole number".into())
}

fn millis(text: &str) -> Parsed<Millis> {
    match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => Ok(Millis(whole(number)?)),
        (None, Some(number)) => Ok(Millis::from_secs(whole(number)?)),
        (None, None) => Err("a time such as 500ms or 2s".into()),
    }
}
