use crate::Step;

/// How often a step is explained while it changes.
const MAX_TRIES: usize = 4;

/// Returns a step together with what explains it. Other threads may change what both depend on, such as a
/// path that is lost, so they are determined again if the step is another one afterwards. After
/// four tries the last ones are returned.
pub fn explain_step<T>(
    mut step: impl FnMut() -> Step,
    mut explain: impl FnMut() -> T,
) -> (Step, T) {
    let mut before = step();
    let mut explained = explain();
    for _ in 1..MAX_TRIES {
        let after = step();
        if after.is_alike(&before) {
            break;
        }
        before = after;
        explained = explain();
    }
    (before, explained)
}
