//! Short soak runs with fixed seeds: real gateway processes under faults
//! injected from outside.

use std::path::PathBuf;
use std::time::Duration;

use rstest::rstest;
use teaseldrum_lab::soak::SoakPlan;
use teaseldrum_lab::soak::run_soak;

#[rstest]
#[case::first(1)]
#[case::second(2)]
fn soak_short_breaks_no_guarantee(#[case] seed: u64) {
    let name = format!("soak-test-{}-{seed}", std::process::id());
    let plan = SoakPlan {
        seed,
        duration: Duration::from_secs(5),
        gateways: 3,
        servers: 3,
        callers: 8,
        program: PathBuf::from(env!("CARGO_BIN_EXE_teaseldrum")),
        folder: std::env::temp_dir().join(name),
    };
    let summary = run_soak(&plan).expect("soak run to its end");
    assert!(summary.broken.is_empty(), "{summary:?}");
    assert!(summary.served > 0, "{summary:?}");
    std::fs::remove_dir_all(&plan.folder).expect("remove the folder of the run");
}
