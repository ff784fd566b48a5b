use super::*;
use rstest::rstest;

#[rstest]
#[case(&[16, 64, 128, 256], None)]
#[case(&[16, 64, 256], Some("proxies: at least 4 sizes make a slope"))]
#[case(&[16, 32, 64, 128], Some("proxies: sizes must span a factor of 16 or more"))]
#[case(&[0, 32, 64, 128], Some("proxies: sizes are numbers from 1"))]
#[case(&[16, 64, 64, 256], Some("proxies: sizes must rise"))]
#[case(&[], Some("proxies: sizes are numbers from 1"))]
fn sizes_that_make_no_slope_are_told(#[case] sizes: &[u64], #[case] why: Option<&str>) {
    assert_eq!(unfit(Axis::Proxies, sizes).as_deref(), why);
}

#[test]
fn every_role_has_sizes_that_make_slopes_and_names_of_its_own() {
    let roles = roles::all();
    let mut names: Vec<&str> = roles.iter().map(|r| r.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), roles.len());
    for role in roles {
        let mut quantities: Vec<&str> = role.assumed().iter().map(|a| a.quantity.name).collect();
        for series in role.series() {
            assert!(!series.axes.is_empty() && series.axes.len() <= 2, "{}", role.name());
            for (axis, sizes) in &series.axes {
                assert_eq!(unfit(*axis, sizes), None, "{}", role.name());
            }
            assert_eq!(series.targets.first().map(|(name, _)| *name), Some("users"), "{}", role.name());
            quantities.extend(series.quantities.iter().map(|q| q.name));
        }
        let all = quantities.len();
        quantities.sort_unstable();
        quantities.dedup();
        assert_eq!(quantities.len(), all, "{}", role.name());
    }
}
