//! What a majority of the stores holds.
