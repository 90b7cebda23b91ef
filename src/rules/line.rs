//! Splits a line of a rules file into words and a comment.

use std::ops::Range;

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::Result;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::token::rest;
use winnow::token::take_while;

/// Word of a line with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Word {
    /// Text of the word, without blanks.
    pub text: String,
    /// Byte range of the word in the line.
    pub span: Range<usize>,
}

impl Word {
    /// Returns the column of the first byte, from 1.
    pub(super) fn column(&self) -> usize {
        self.span.start + 1
    }
}

/// Line of a rules file, split into words and a comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Line {
    /// Words before the comment, in order.
    pub words: Vec<Word>,
    /// Comment without `#` and surrounding blanks; `None` if the line has no `#`.
    pub comment: Option<String>,
}

/// Splits a line into words and a comment. Any text without a line break is valid.
pub(super) fn split_line(text: &str) -> Line {
    parse_line
        .parse(LocatingSlice::new(text))
        .unwrap_or_else(|_| unreachable!("any text parses as words and a comment"))
}

fn parse_line(input: &mut LocatingSlice<&str>) -> Result<Line> {
    let words = preceded(space0, separated(0.., parse_word, space1)).parse_next(input)?;
    let comment = preceded(space0, opt(preceded('#', rest))).parse_next(input)?;
    Ok(Line {
        words,
        comment: comment.map(|text: &str| text.trim().into()),
    })
}

fn parse_word(input: &mut LocatingSlice<&str>) -> Result<Word> {
    let (text, span) = take_while(1.., |c: char| !c.is_whitespace() && c != '#')
        .with_span()
        .parse_next(input)?;
    Ok(Word {
        text: String::from(text),
        span,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn split_line_words_and_comment() {
        let line = split_line("  route /v1/ open # asked by the desk ");
        let words: Vec<&str> = line.words.iter().map(|word| word.text.as_str()).collect();
        assert_eq!(words, ["route", "/v1/", "open"]);
        assert_eq!(line.words[1].column(), 9);
        assert_eq!(line.comment.as_deref(), Some("asked by the desk"));
    }

    #[test]
    fn split_line_empty() {
        let line = split_line("");
        assert!(line.words.is_empty());
        assert_eq!(line.comment, None);
    }
}
