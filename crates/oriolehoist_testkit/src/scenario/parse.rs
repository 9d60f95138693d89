use {
    crate::{
        caller::LoadProfile,
        scenario::script::{
            Action, Endpoint, Expectation, FaultKind, PlannedLoad, Script, Selector, Setting, Step,
        },
    },
    oriolehoist_time::Millis,
    std::fmt,
};

/// A syntax error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The line number, from 1.
    pub line: usize,
    /// What the parser expected instead of the invalid text.
    pub expected: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for ParseError {}

/// A parsed value, or a description of what was expected instead.
type Parsed<T> = Result<T, String>;

/// Parses a scenario.
///
/// # Errors
///
/// Returns an error for the first line that is invalid.
pub fn parse(text: &str) -> Result<Script, ParseError> {
    let mut script = Script {
        site: "villacres".into(),
        daemons: 4,
        list_delay: Millis(1000),
        extra_service_settings: String::new(),
        loads: Vec::new(),
        steps: Vec::new(),
        expectations: Vec::new(),
    };
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        if !words.is_empty() {
            let to_error = |expected| ParseError { line: index + 1, expected };
            parse_directive(&mut script, &words).map_err(to_error)?;
        }
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn parse_directive(script: &mut Script, words: &[&str]) -> Parsed<()> {
    match words {
        ["site", name] => script.site = (*name).into(),
        ["daemons", count] => script.daemons = parse_number(count)? as usize,
        ["list", "lags", time] => script.list_delay = parse_time(time)?,
        ["service", "setting", rest @ ..] => {
            script.extra_service_settings.push_str(&rest.join(" "));
            script.extra_service_settings.push(',');
        }
        ["load", pairs @ ..] => script.loads.push(parse_load(pairs)?),
        ["at", time, action @ ..] => {
            script.steps.push(Step { at: parse_time(time)?, action: self::parse_action(action)? });
        }
        ["expect", rest @ ..] => script.expectations.push(parse_expectation(rest)?),
        _ => {
            return Err("a directive: site, daemons, list, service, load, at or expect".into());
        }
    }
    Ok(())
}

fn parse_load(pairs: &[&str]) -> Parsed<PlannedLoad> {
    let mut load = PlannedLoad {
        profile: LoadProfile::default(),
        start: Millis::ZERO,
        duration: Millis::from_secs(5),
    };
    for pair in pairs {
        let (name, value) = pair.split_once('=').ok_or("name=value")?;
        match name {
            "service" => load.profile.service = value.into(),
            "rate" => load.profile.rate = parse_number(value)?,
            "keys" => load.profile.key_count = parse_number(value)?,
            "bookings" => load.profile.booking_percent = parse_number(value)?,
            "class" => load.profile.class = parse_class(value)?,
            "tenant" => load.profile.workspace = value.into(),
            "deadline" => load.profile.deadline = parse_time(value)?,
            "work" => load.profile.service_time = Some(parse_time(value)?),
            "repeat" => load.profile.retry_unknown = value == "yes",
            "seed" => load.profile.seed = parse_number(value)?,
            "start" => load.start = parse_time(value)?,
            "for" => load.duration = parse_time(value)?,
            _ => return Err("service, rate, keys, bookings, class, tenant, deadline, work, repeat, seed, start or for".into()),
        }
    }
    Ok(load)
}

fn parse_class(name: &str) -> Parsed<&'static str> {
    ["urgent", "interactive", "bulk"]
        .into_iter()
        .find(|known| *known == name)
        .ok_or_else(|| "urgent, interactive or bulk".into())
}

fn parse_action(words: &[&str]) -> Parsed<Action> {
    Ok(match words {
        ["kill", rest @ ..] => Action::Kill(parse_selector(rest)?),
        ["freeze", rest @ ..] => Action::Freeze(parse_selector(rest)?),
        ["thaw"] => Action::Thaw,
        ["start", "killed"] => Action::StartKilled,
        ["stop", rest @ ..] => Action::Stop(parse_selector(rest)?),
        ["roll", "daemons"] => Action::RollDaemons,
        ["list", "leaving", rest @ ..] => Action::ListLeaving(parse_selector(rest)?),
        ["list", "without", rest @ ..] => Action::ListWithout(parse_selector(rest)?),
        ["drain", rest @ ..] => Action::Drain(parse_selector(rest)?),
        ["report", "draining", rest @ ..] => Action::ReportDraining(parse_selector(rest)?),
        ["misreport", rest @ ..] => Action::Misreport(parse_selector(rest)?),
        ["isolate", rest @ ..] => Action::Isolate(parse_selector(rest)?),
        ["heal"] => Action::Heal,
        ["store", "stale"] => Action::StaleStore(true),
        ["store", "fresh"] => Action::StaleStore(false),
        ["set", rest @ ..] => Action::Set(parse_settings(rest)?),
        ["send", "crash", times] => Action::SendCrash(parse_number(times)? as u32),
        ["fault", "delay", by, rest @ ..] => parse_fault(FaultKind::Delay(parse_time(by)?), rest)?,
        ["fault", kind, rest @ ..] => parse_fault(parse_fault_kind(kind)?, rest)?,
        _ => return Err("an action".into()),
    })
}

fn parse_fault_kind(name: &str) -> Parsed<FaultKind> {
    Ok(match name {
        "cut" => FaultKind::Cut,
        "silence" => FaultKind::Silence,
        "reset" => FaultKind::Reset,
        "swallow-requests" => FaultKind::SwallowRequests,
        "swallow-answers" => FaultKind::SwallowAnswers,
        "lose-answers" => FaultKind::LoseAnswers,
        "lose-write-answers" => FaultKind::LoseWriteAnswers,
        "truncate-answers" => FaultKind::TruncateAnswers,
        _ => return Err("a kind of fault, such as cut or silence".into()),
    })
}

fn parse_fault(kind: FaultKind, words: &[&str]) -> Parsed<Action> {
    let to = words.iter().position(|word| *word == "to").ok_or("from ... to ...")?;
    match words.first() {
        Some(&"from") => Ok(Action::Fault(
            kind,
            parse_endpoint(&words[1..to])?,
            parse_endpoint(&words[to + 1..])?,
        )),
        _ => Err("from ... to ...".into()),
    }
}

fn parse_endpoint(words: &[&str]) -> Parsed<Endpoint> {
    Ok(match words {
        ["everyone"] => Endpoint::Everyone,
        ["store"] => Endpoint::Store,
        ["list"] => Endpoint::List,
        rest => Endpoint::Of(parse_selector(rest)?),
    })
}

fn parse_selector(words: &[&str]) -> Parsed<Selector> {
    Ok(match words {
        ["owner", "of", key] => Selector::Owner((*key).into()),
        ["servers", "not", "of", key] => Selector::NotOwners((*key).into()),
        ["server", number] => Selector::Server(parse_number(number)? as usize),
        ["servers"] => Selector::Servers,
        ["assigner"] => Selector::Assigner,
        ["follower"] => Selector::Follower,
        ["followers"] => Selector::Followers,
        ["daemon", number] => Selector::Daemon(parse_number(number)? as usize),
        ["daemons"] => Selector::Daemons,
        ["zone", number] => Selector::Zone(parse_number(number)? as usize),
        _ => {
            return Err(
                "owner of KEY, servers not of KEY, server N, servers, assigner, follower, followers, daemon N, daemons or zone N"
                    .into(),
            );
        }
    })
}

fn parse_settings(words: &[&str]) -> Parsed<Vec<Setting>> {
    let setting = |word: &&str| {
        let (path, value) = word.split_once('=').ok_or("path=value")?;
        Ok(Setting { path: path.into(), value: parse_number(value)? })
    };
    words.iter().map(setting).collect()
}

fn parse_expectation(words: &[&str]) -> Parsed<Expectation> {
    Ok(match words {
        ["interruption"] => Expectation::Interruption,
        ["served-again", "within", time] => Expectation::ServedAgain(parse_time(time)?),
        ["served", "at-least", percent] => {
            Expectation::Served(parse_number(percent.trim_end_matches('%'))?)
        }
        ["no-refusals"] => Expectation::NoRefusals,
        ["refusals", kind] => Expectation::Refusals((*kind).into()),
        ["no-work-after", time] => Expectation::NoLateWork(parse_time(time)?),
        ["in-force", "within", time] => Expectation::InForceWithin(parse_time(time)?),
        ["no-version-falls"] => Expectation::NoVersionFalls,
        ["versions", count] => Expectation::Versions(parse_number(count)?),
        ["head-version", number] => Expectation::HeadVersion(parse_number(number)?),
        ["crashes", "at-most", count] => Expectation::CrashesAtMost(parse_number(count)?),
        ["store-calls", "at-most", count] => Expectation::StoreCalls(parse_number(count)?),
        ["runs-at", key, server] => Expectation::RunsAt((*key).into(), (*server).into()),
        ["moves", "at-most", count] => Expectation::MovesAtMost(parse_number(count)?),
        ["moves", "at-least", count] => Expectation::MovesAtLeast(parse_number(count)?),
        _ => return Err("an expectation".into()),
    })
}

fn parse_number(text: &str) -> Parsed<u64> {
    text.parse().map_err(|_| "a whole number".into())
}

fn parse_time(text: &str) -> Parsed<Millis> {
    match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => Ok(Millis(parse_number(number)?)),
        (None, Some(number)) => Ok(Millis::from_secs(parse_number(number)?)),
        (None, None) => Err("a time such as 500ms or 2s".into()),
    }
}
