from dataclasses import replace

from hawthornshelf.gateway.exchange import InboundRequest, Prompt, PromptSegment
from hawthornshelf.gateway.identity import (
    MAX_PARAMETERS,
    MAX_PARTS,
    digest_parts,
    digest_request,
)


def digest_content(request: InboundRequest) -> bytes:
    return digest_request(request).content


def digest_resource(request: InboundRequest) -> bytes:
    return digest_request(request).resource


REQUEST = InboundRequest("r1", "POST", "/a/b?c=1", "h", (), b"body", 0.0, 1.0)


def test_a_request_that_comes_again_under_another_id_has_the_same_digest() -> None:
    again = replace(REQUEST, request_id="r2", arrived_at=9.0, resume_after="7")
    assert digest_content(again) == digest_content(REQUEST)


def test_requests_with_another_target_caller_or_body_have_other_digests() -> None:
    others = [
        replace(REQUEST, method="PUT"),
        replace(REQUEST, host="other"),
        replace(REQUEST, target="/a/b?c=2"),
        replace(REQUEST, caller="Bearer k"),
        replace(REQUEST, body=b"body2"),
    ]
    digests = {digest_content(request) for request in (REQUEST, *others)}
    assert len(digests) == 1 + len(others)


def test_a_request_can_not_imitate_another_by_moving_bytes_between_its_parts() -> None:
    one = replace(REQUEST, target="/ab", caller="", body=b"c")
    assert digest_content(one) != digest_content(replace(one, target="/a", caller="b"))
    assert digest_content(one) != digest_content(replace(one, caller="c", body=b""))


def test_a_target_that_is_no_unicode_has_a_digest() -> None:
    assert digest_content(replace(REQUEST, target="/\udcff"))


def test_a_resource_has_one_digest_whatever_query_method_or_host_comes_with_it() -> (
    None
):
    variants = [
        replace(REQUEST, request_id="r2", arrived_at=9.0, deadline=9.5),
        replace(REQUEST, method="PUT"),
        replace(REQUEST, host="other"),
        replace(REQUEST, target="/a/b"),
        replace(REQUEST, target="/a/b?c=2&d"),
        replace(REQUEST, target="/%61/b?c=1"),
    ]
    assert {digest_resource(r) for r in variants} == {digest_resource(REQUEST)}


def test_resources_with_another_path_caller_or_body_have_other_digests() -> None:
    others = [
        replace(REQUEST, target="/a/c?c=1"),
        replace(REQUEST, target="/a%2Fb?c=1"),
        replace(REQUEST, caller="Bearer k"),
        replace(REQUEST, body=b"body2"),
    ]
    digests = {digest_resource(request) for request in (REQUEST, *others)}
    assert len(digests) == 1 + len(others)


def test_an_escape_has_one_spelling() -> None:
    one = digest_resource(replace(REQUEST, target="/%2f%zz%"))
    assert one == digest_resource(replace(REQUEST, target="/%2F%zz%"))


def test_parameters_have_digests_of_their_own_whatever_their_order() -> None:
    one = digest_request(replace(REQUEST, target="/a/b?c=1&d=2"))
    other = digest_request(replace(REQUEST, target="/a/b?d=2&%63=1&"))
    assert one == other
    assert len(set(one.parameters)) == 2 and one.resource not in one.parameters
    more = digest_request(replace(REQUEST, target="/a/b?c=1&d=3"))
    assert len(set(one.parameters) & set(more.parameters)) == 1
    elsewhere = digest_request(replace(REQUEST, target="/a/c?c=1&d=2"))
    assert not set(one.parameters) & set(elsewhere.parameters)


def test_a_request_without_a_query_has_no_parameters() -> None:
    for target in ("/a/b", "/a/b?", "/a/b?&"):
        digests = digest_request(replace(REQUEST, target=target))
        assert digests == digest_request(replace(REQUEST, target="/a/b"))
        assert digests.parameters == ()
        assert digests.shared == (digests.resource, digests.target)
        assert digests.target != digests.resource


def test_a_target_has_one_digest_whatever_method_or_host_it_has() -> None:
    one = digest_request(replace(REQUEST, target="/a/b?c=1&d=2"))
    for variant in (
        replace(REQUEST, target="/a/b?d=2&%63=1", method="PUT"),
        replace(REQUEST, target="/a/b?c=1&d=2", host="other"),
    ):
        assert digest_request(variant).target == one.target
    for target in ("/a/b", "/a/b?c=1", "/a/b?c=1&d=3", "/a/c?c=1&d=2"):
        other = digest_request(replace(REQUEST, target=target))
        assert not {other.target, *other.parameters} & {one.target}


def test_a_target_with_one_parameter_has_no_other_digest_for_it() -> None:
    digests = digest_request(REQUEST)
    assert digests.shared == (digests.resource, digests.target)


def test_the_parameters_of_one_query_are_bounded() -> None:
    query = "&".join(f"p{number}=1" for number in range(2 * MAX_PARAMETERS))
    digests = digest_request(replace(REQUEST, target=f"/a/b?{query}"))
    assert len(digests.parameters) == MAX_PARAMETERS


def make_prompt(*parts: str, model: str = "m") -> Prompt:
    return Prompt(10, 5, tuple(PromptSegment(part, 5) for part in parts), model)


def test_the_last_part_of_a_prompt_is_its_own() -> None:
    shared = digest_parts(make_prompt("a", "b", "own1"))
    assert shared == digest_parts(make_prompt("a", "b", "own2"))
    assert len(set(shared)) == 2 * 2
    assert digest_parts(make_prompt("own")) == digest_parts(None) == ()


def test_a_part_has_a_digest_for_its_model_and_one_for_all_models() -> None:
    one = digest_parts(make_prompt("a", "own"))
    other = digest_parts(make_prompt("a", "own", model="n"))
    without = digest_parts(make_prompt("a", "own", model=""))
    assert len(set(one) & set(other)) == 1
    assert set(without) == set(one) & set(other)


def test_a_part_is_the_same_at_each_place_of_a_prompt() -> None:
    assert digest_parts(make_prompt("a", "own"))[0] in digest_parts(
        make_prompt("b", "a", "own")
    )


def test_the_parts_of_one_prompt_are_bounded() -> None:
    names = [str(number) for number in range(2 * MAX_PARTS)]
    assert len(digest_parts(make_prompt(*names))) == 2 * MAX_PARTS
    assert len(digest_parts(make_prompt(*names, model=""))) == MAX_PARTS
