"""A program of each role, ended after the test."""

import pytest
from processes.program import ROLES, Program


@pytest.fixture(params=ROLES, ids=["sender", "control_server"])
def program(request, tmp_path):
    program = Program(request.param, tmp_path)
    yield program
    print(program.log_text() if program.log_path.exists() else "no log")
    program.close()


@pytest.fixture
def create_program(tmp_path):
    """Provide a function that creates the program of a role."""
    programs = []

    def create(role):
        programs.append(Program(role, tmp_path))
        return programs[-1]

    yield create
    for program in programs:
        program.close()
