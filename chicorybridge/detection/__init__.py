"""Evidence on gray targets, judgement, ejection and the floor.

Start with `detections`, which joins the systems, then `evaluations` and
`permits`. Decisions only.
"""
