"""Detection and ejection of gray targets within the floor of a service.

A gray target still accepts requests, but answers them slowly, fails them
or sheds them. Start with `detections`, which combines the systems, then
read `evaluations` and `permits`. The package only decides; it does no
I/O.
"""
