use super::*;
use crate::host::Progress;
use world::outcome::Run;
use world::scenario::FaultKind;

/// A host that crashes when nodes hang, and cannot run a `payday` fault.
struct CrashesOnHang;

impl Host for CrashesOnHang {
    fn run(&self, scenario: &Scenario, _: u64, _: &dyn Progress) -> Result<Run, HostError> {
        let has = |kind| scenario.faults.iter().any(|f| f.kind == kind);
        if has(FaultKind::Payday) {
            return Err(HostError::Unplayable("payday".into()));
        }
        if has(FaultKind::Hang) {
            return Err(HostError::Crashed("out of range".into()));
        }
        Ok(Run::default())
    }
}

fn with(kinds: &[FaultKind]) -> Result<Vec<Failure>, HostError> {
    let plan = Plan {
        seed: 1,
        runs: 40,
        bounds: Bounds { most_faults: 3, kinds: kinds.to_vec() },
        shrunk: 2,
        shrink_runs: 200,
        threads: parallel::cores(),
    };
    search(&CrashesOnHang, &Scenario::default(), &plan, None, &|| ())
}

#[test]
fn a_crash_is_a_failure_and_is_shrunk_to_a_crash() {
    let found = with(&[FaultKind::Hang, FaultKind::Forget]).unwrap();
    assert!(found.len() > 2);
    for failure in &found {
        assert_eq!(failure.how, Cause::Crash("out of range".into()));
    }
    let small = found[0].small.as_ref().map(|(token, _)| &token.scenario.faults[..]);
    assert!(matches!(small, Some([f]) if f.kind == FaultKind::Hang), "{small:?}");
    assert!(found[1].small.is_some() && found[2].small.is_none());
}

#[test]
fn a_host_that_cannot_run_a_scenario_ends_the_search() {
    assert!(matches!(with(&[FaultKind::Payday]), Err(HostError::Unplayable(_))));
}
