//! Sources of prompt parts whose weights may have changed without this process's knowledge.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::AgentReport;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::BuildFilter;
use teaseldrum::core::fleet::CachedPartChange;
use teaseldrum::core::fleet::DispatchRequest;
use teaseldrum::core::fleet::Dispatcher;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::ModelName;
use teaseldrum::core::fleet::PartId;
use teaseldrum::core::fleet::Prompt;
use teaseldrum::core::fleet::PromptPart;
use teaseldrum::core::fleet::VersionedSalt;

const MODEL: &str = "m";
const HOLDER: &str = "i-0";
const OTHER: &str = "i-1";

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_000))
}

fn engine(number: u8) -> Member {
    Member {
        name: ServerName::from(format!("i-{number}").as_str()),
        service: "drafting".into(),
        address: address(number),
        zone: "a".into(),
        slots: 64,
        state: MemberState::Ready,
        models: vec![(ModelName::from(MODEL), WeightsVersion(1))],
        started_at_ms: Some(1),
        build: Build::from("v1"),
    }
}

fn report(prefill_ms: u32) -> AgentReport {
    AgentReport {
        is_accepting: true,
        is_alive: true,
        versions: vec![(ModelName::from(MODEL), WeightsVersion(1))],
        prefill_ms,
        capacity_tokens: 300_000,
        ..AgentReport::default()
    }
}

fn shared_part() -> CachedPartChange {
    CachedPartChange {
        namespace: VersionedSalt::shared(WeightsVersion(1), None)
            .namespace(&ModelName::from(MODEL)),
        part: PartId::from_name("shared"),
        tokens: 4_800,
    }
}

/// Two engines; the first one holds the shared part of the prompt.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a");
    for number in 0..2 {
        dispatcher.upsert_member(engine(number));
    }
    dispatcher.observe_cached_parts(&ServerName::from(HOLDER), &[shared_part()], true);
    dispatcher
}

/// Two engines and a KV cache store, which alone holds the shared part of the prompt.
fn dispatcher_with_store() -> (Dispatcher, SocketAddr) {
    let mut dispatcher = dispatcher();
    let store = address(200);
    dispatcher.set_kv_cache_stores(&[store]);
    dispatcher.observe_kv_cache_store(store, &[shared_part()], true);
    dispatcher.observe_cached_parts(&ServerName::from(HOLDER), &[], true);
    (dispatcher, store)
}

/// Returns from where the second engine would fetch the shared part.
fn find_source(dispatcher: &mut Dispatcher, now: MonotonicTime) -> Option<SocketAddr> {
    let holder = dispatcher.upsert_member(engine(0));
    let prompt = Prompt {
        model: ModelName::from(MODEL),
        parts: [("shared", 4_800), ("own", 6_700)]
            .map(|(name, tokens)| PromptPart {
                id: PartId::from_name(name),
                tokens,
            })
            .to_vec(),
        prompt_tokens: 11_500,
        max_output_tokens: 400,
        expected_output_tokens: 300,
    };
    let req = DispatchRequest {
        service: "drafting",
        prompt: Some(&prompt),
        account: None,
        was_isolated: false,
        tried: &[holder],
        build: None,
        builds: BuildFilter::Any,
        body_bytes: None,
        time_left: Duration::from_secs(30),
    };
    let choice = dispatcher.choose(&req, now).expect("an engine is chosen");
    choice.fetch_from
}

/// Guards against a fetch from an engine on newer weights by a process that has heard
/// neither its agent nor the operator's records since these were named. Review case 11.
#[rstest]
#[case::nothing_heard(None, None, false)]
#[case::both_heard_long_ago(Some(100), Some(100), false)]
#[case::records_at_start_only(None, Some(0), false)]
#[case::agent_heard(Some(2_900), Some(100), true)]
#[case::records_confirmed(Some(100), Some(2_900), true)]
#[case::records_confirmed_agent_unknown(None, Some(2_900), true)]
fn choose_fetches_only_from_engine_vouched_for(
    #[case] agent_ms: Option<u64>,
    #[case] confirmed_ms: Option<u64>,
    #[case] is_source: bool,
) {
    let mut dispatcher = dispatcher();
    if let Some(agent_ms) = agent_ms {
        dispatcher.observe_agent_report(&ServerName::from(HOLDER), report(0), at(agent_ms));
    }
    if let Some(confirmed_ms) = confirmed_ms {
        dispatcher.targets_confirmed.record_read(at(confirmed_ms));
    }
    let source = find_source(&mut dispatcher, at(3_000));
    assert_eq!(source, is_source.then(|| address(0)));
}

/// Guards against a fetch from a KV cache store of parts that were saved under newer
/// weights, which this process has not heard of.
#[rstest]
#[case::long_ago(100, false)]
#[case::recently(2_900, true)]
fn choose_fetches_from_store_only_if_records_confirmed(
    #[case] confirmed_ms: u64,
    #[case] is_source: bool,
) {
    let (mut dispatcher, store) = dispatcher_with_store();
    dispatcher.targets_confirmed.record_read(at(confirmed_ms));
    let source = find_source(&mut dispatcher, at(3_000));
    assert_eq!(source, is_source.then_some(store));
}

/// Guards against an agent's report that came while this process stood still, and passes
/// for a new one when it is read.
#[rstest]
#[case::waited(3_000, 3_005, false)]
#[case::sent_since(3_300, 3_305, true)]
fn choose_fetches_not_after_report_that_waited(
    #[case] report_ms: u64,
    #[case] now_ms: u64,
    #[case] is_source: bool,
) {
    let mut dispatcher = dispatcher();
    dispatcher.targets_confirmed.record_read(at(0));
    for ms in [0, 100, 3_000, 3_100, 3_200, 3_300] {
        dispatcher.targets_confirmed.record_run(at(ms));
        if ms == report_ms {
            dispatcher.observe_agent_report(&ServerName::from(HOLDER), report(0), at(ms));
            break;
        }
    }
    let source = find_source(&mut dispatcher, at(now_ms));
    assert_eq!(source, is_source.then(|| address(0)));
}

/// Guards against a call that waits at its engine while a newer version is named and its
/// source loads it, and then fetches what the source has made since. Review case 12.
#[rstest]
#[case::begins_at_once(0, 0, true)]
#[case::begins_soon(250, 0, true)]
#[case::begins_soon_news_is_old(250, 300, false)]
#[case::begins_after_first_order(600, 0, false)]
#[case::waits_for_a_whole_change(3_000, 0, false)]
fn choose_fetches_only_if_call_begins_before_first_order(
    #[case] wait_ms: u32,
    #[case] news_age_ms: u64,
    #[case] is_source: bool,
) {
    let mut dispatcher = dispatcher();
    let (holder, other) = (ServerName::from(HOLDER), ServerName::from(OTHER));
    dispatcher.targets_confirmed.record_read(at(1_000));
    dispatcher.observe_agent_report(&holder, report(0), at(1_000));
    let now = at(1_000 + news_age_ms);
    dispatcher.observe_agent_report(&other, report(wait_ms), now);
    let source = find_source(&mut dispatcher, now);
    assert_eq!(source, is_source.then(|| address(0)));
}

/// Guards against the same with a KV cache store as the source.
#[rstest]
#[case::begins_soon(250, true)]
#[case::begins_after_first_order(600, false)]
fn choose_fetches_from_store_only_if_call_begins_before_first_order(
    #[case] wait_ms: u32,
    #[case] is_source: bool,
) {
    let (mut dispatcher, store) = dispatcher_with_store();
    dispatcher.targets_confirmed.record_read(at(1_000));
    dispatcher.observe_agent_report(&ServerName::from(OTHER), report(wait_ms), at(1_000));
    let source = find_source(&mut dispatcher, at(1_000));
    assert_eq!(source, is_source.then_some(store));
}
