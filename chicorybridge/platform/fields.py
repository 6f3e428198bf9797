"""Fields of decoded JSON documents, with checks of their types."""

import math
from collections.abc import Mapping
from typing import Any

# 2**53: every JSON decoder keeps integers up to it exact, and MessagePack can
# encode them in datagrams.
MAX_COUNT = 9_007_199_254_740_992


def text_field(document: Mapping[str, Any], key: str) -> str:
    text = document[key]
    if not isinstance(text, str) or not text:
        raise TypeError(f'{key} is empty or not text')
    return text


def number_field(document: Mapping[str, Any], key: str) -> float:
    number = document[key]
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f'{key} is not a number')
    if not math.isfinite(number):
        raise ValueError(f'{key} is not finite')
    return number


def count_field(document: Mapping[str, Any], key: str) -> int:
    number = document[key]
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'{key} is not an integer')
    if not 0 <= number <= MAX_COUNT:
        raise ValueError(f'{key} is negative or above 2**53')
    return number
