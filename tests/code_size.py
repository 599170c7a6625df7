"""Size measures of Python source: lines of modules, lines and nesting of functions."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from dataclasses import dataclass

Function = ast.FunctionDef | ast.AsyncFunctionDef
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)
BLOCKS = (ast.If, ast.For, ast.AsyncFor, ast.While, ast.With, ast.AsyncWith, ast.Try, ast.TryStar, ast.Match)

MODULE_LINES = 300
FUNCTION_LINES = 40
NESTED_BLOCKS = 4


@dataclass(frozen=True, slots=True)
class Excess:
    """A measure over its bound; `place` is `path`, `path::Class.function` or the latter with `(nested)`."""

    place: str
    size: int


def nesting(node: ast.AST, depth: int = 0) -> int:
    """Return the deepest nesting of blocks below a node; nested functions count separately.

    An `elif` counts at the depth of its `if`.
    """
    deepest = depth
    for child in ast.iter_child_nodes(node):
        if isinstance(child, (*FUNCTIONS, ast.ClassDef, ast.Lambda)):
            continue
        is_elif = isinstance(node, ast.If) and isinstance(child, ast.If) and node.orelse == [child]
        is_block = isinstance(child, BLOCKS) and not is_elif
        deepest = max(deepest, nesting(child, depth + is_block))
    return deepest


def functions(node: ast.AST, prefix: str = "") -> Iterator[tuple[str, Function]]:
    """Yield every function below a node with its dotted name, methods and nested functions included."""
    for child in ast.iter_child_nodes(node):
        name = prefix
        if isinstance(child, (*FUNCTIONS, ast.ClassDef)):
            name = f"{prefix}.{child.name}" if prefix else child.name
        if isinstance(child, FUNCTIONS):
            yield name, child
        yield from functions(child, name)


def line_count(function: Function) -> int:
    """Return the lines of a function with its signature and docstring, without decorators."""
    return (function.end_lineno or function.lineno) - function.lineno + 1


def excesses(path: str, source: str) -> Iterator[Excess]:
    """Yield the measures of a module that are over their bound."""
    lines = len(source.splitlines())
    if lines > MODULE_LINES:
        yield Excess(path, lines)
    for name, function in functions(ast.parse(source)):
        if line_count(function) > FUNCTION_LINES:
            yield Excess(f"{path}::{name}", line_count(function))
        if nesting(function) > NESTED_BLOCKS:
            yield Excess(f"{path}::{name}(nested)", nesting(function))
