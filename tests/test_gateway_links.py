"""Which processes exchange reports, and over how many hops they pass."""

import unittest
from collections import deque

from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from parameterized import parameterized


def fleet(*halls: tuple[int, int]) -> list[PeerRecord]:
    """Return records of halls with these numbers of entries and owners."""
    records = []
    for number, (entries, owners) in enumerate(halls):
        hall = DataHall(f'hall-{number}')
        for role, count in (
            (NodeRole.ENTRY, entries),
            (NodeRole.OWNER, owners),
        ):
            records += [
                PeerRecord(
                    NodeName(f'{role.value}-{hall}-{index}'), role, hall, ''
                )
                for index in range(count)
            ]
    return records


def close_links(records: list[PeerRecord]) -> dict[NodeName, list[NodeName]]:
    """Return the close links of each process."""
    links = Links()
    links.rebuild(records)
    names = [record.node for record in records]
    return {
        one: [
            other for other in names if links.between(one, other) is Link.CLOSE
        ]
        for one in names
    }


def hops_from(start: NodeName, links: dict[NodeName, list[NodeName]]):
    """Count the hops from one process to each that is reachable."""
    hops = {start: 0}
    queue = deque([start])
    while queue:
        node = queue.popleft()
        for neighbor in links[node]:
            if neighbor not in hops:
                hops[neighbor] = hops[node] + 1
                queue.append(neighbor)
    return hops


class LinksTest(unittest.TestCase):
    """Links in fleets of many sizes."""

    @parameterized.expand(
        [
            ('two_halls', [(9, 1), (9, 1)], 5),
            ('grown', [(7, 1), (6, 1), (6, 1)], 4),
            ('large', [(11, 1), (12, 1), (13, 1), (12, 1), (10, 1)], 4),
            ('uneven', [(1, 1), (40, 1), (3, 1), (12, 1)], 7),
            ('one_hall', [(60, 1)], 4),
            ('three_hundred', [(99, 1), (99, 1), (99, 1)], 6),
            ('fourteen_halls', [(20, 1)] * 14, 8),
        ],
    )
    def test_reports_reach_all_over_few_links(self, _name, halls, max_hops):
        records = fleet(*halls)
        links = close_links(records)
        owners = sum(owners for _entries, owners in halls)
        for record in records:
            hops = hops_from(record.node, links)
            self.assertEqual(len(records), len(hops))
            self.assertLessEqual(max(hops.values()), max_hops)
            owner_links = owners if record.role is NodeRole.OWNER else 0
            self.assertLessEqual(len(links[record.node]), 8 + owner_links)

    def test_both_sides_agree(self):
        records = fleet((11, 1), (12, 1), (5, 1))
        links = Links()
        links.rebuild(records)
        # The order of the records must not matter.
        other_links = Links()
        other_links.rebuild(records[::-1])
        for one in records:
            for other in records:
                self.assertIs(
                    links.between(one.node, other.node),
                    other_links.between(other.node, one.node),
                )

    @parameterized.expand(
        [
            ('six', [(1, 1), (1, 1), (1, 1)], 0.04),
            ('nine', [(2, 1), (2, 1), (2, 1)], 0.05),
            ('mesh_full', [(5, 1), (5, 1), (4, 1)], 0.1),
            ('large', [(20, 1), (20, 1)], 0.08),
            ('three_hundred', [(99, 1), (99, 1), (99, 1)], 0.08),
        ],
    )
    def test_interval_over_a_close_link(self, _name, halls, pause):
        links = Links()
        links.rebuild(fleet(*halls))
        self.assertAlmostEqual(pause, links.interval(Link.CLOSE))

    def test_small_fleets_are_a_full_mesh(self):
        records = fleet((5, 1), (5, 1), (4, 1))
        for neighbors in close_links(records).values():
            self.assertEqual(len(records) - 1, len(neighbors))

    @parameterized.expand(
        [
            ('entry-hall-0-0', 'owner-hall-2-0', Link.WATCH),
            ('owner-hall-0-0', 'owner-hall-2-0', Link.CLOSE),
            ('entry-hall-0-0', 'entry-hall-0-0', Link.NONE),
            ('entry-hall-0-0', 'unknown', Link.NONE),
        ],
    )
    def test_owners_are_linked_with_all(self, one, other, expected):
        records = fleet((20, 1), (20, 1), (20, 1), (20, 1), (20, 1))
        links = Links()
        links.rebuild(records)
        found = links.between(NodeName(one), NodeName(other))
        if expected is Link.WATCH:
            self.assertIn(found, {Link.WATCH, Link.CLOSE})
        else:
            self.assertIs(expected, found)
