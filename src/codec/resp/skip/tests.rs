use super::super::{command, extent, put_command, Command, Extent, MAX_WORDS};
use super::*;
use proptest::prelude::*;

proptest! {
    /// Whatever the pieces in which it arrives, the same commands are seen as by the parser.
    #[test]
    fn commands_are_passed_as_they_are_parsed(
        commands in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..=MAX_WORDS), 1..5),
        spoilt in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
        piece in 1usize..50,
    ) {
        let mut bytes = Vec::new();
        for words in &commands {
            put_command(&mut bytes, &words.iter().map(Vec::as_slice).collect::<Vec<_>>());
        }
        if let Some((at, byte)) = spoilt {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let (mut parsed, mut at, mut sound) = (0, 0, true);
        while sound && at < bytes.len() {
            match command(&bytes[at..]) {
                Ok(Command::Whole(_, taken)) => (parsed, at) = (parsed + 1, at + taken),
                Ok(Command::AtLeast(_)) => break,
                Err(_) => sound = false,
            }
        }
        let mut skipper = CommandSkipper::default();
        let mut skipped = 0;
        let result = bytes.chunks(piece).try_for_each(|piece| skipper.skip(piece).map(|n| skipped += n));
        prop_assert_eq!(result.is_ok(), sound);
        if sound {
            prop_assert_eq!((skipped, skipper.is_mid_command()), (parsed, at < bytes.len()));
        }
    }

    /// The length that is announced is never more than the whole command has.
    #[test]
    fn the_least_length_is_a_lower_bound(words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..=MAX_WORDS), cut in any::<prop::sample::Index>()) {
        let mut bytes = Vec::new();
        put_command(&mut bytes, &words.iter().map(Vec::as_slice).collect::<Vec<_>>());
        let cut = cut.index(bytes.len());
        let Ok(Extent::AtLeast(least)) = extent(&bytes[..cut]) else { panic!("it is incomplete") };
        prop_assert!(least > cut && least <= bytes.len(), "{} of {}, cut at {}", least, bytes.len(), cut);
        prop_assert_eq!(command(&bytes[..cut]), Ok(Command::AtLeast(least)));
        prop_assert_eq!(extent(&bytes), Ok(Extent::Whole(bytes.len())));
    }
}

#[test]
fn a_line_without_end_is_malformed() {
    let mut skipper = CommandSkipper::default();
    assert!((0..40).any(|_| skipper.skip(b"*").is_err()));
}
