# Installs programs, charts, sample settings, pages and systemd units.

set(AUBURNHUB_PROGRAMS
  auburnhub-entry auburnhub-dispatch auburnhub-control auburnhub-ctl)
set(AUBURNHUB_UNIT_DIR lib/systemd/system CACHE STRING
  "Folder below the prefix for systemd units")

# Programs that this tree builds.
set(AUBURNHUB_BUILT_PROGRAMS "")
foreach(program IN LISTS AUBURNHUB_PROGRAMS)
  if(TARGET ${program})
    list(APPEND AUBURNHUB_BUILT_PROGRAMS ${program})
  endif()
endforeach()

install(TARGETS ${AUBURNHUB_BUILT_PROGRAMS}
  RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY ${PROJECT_SOURCE_DIR}/share/auburnhub
  DESTINATION ${CMAKE_INSTALL_DATADIR})
install(DIRECTORY ${PROJECT_SOURCE_DIR}/docs/
  DESTINATION ${CMAKE_INSTALL_DOCDIR} FILES_MATCHING PATTERN "*.md")

# A unit names the program's full path, so it is made for this prefix.
foreach(process entry dispatch control)
  configure_file(${PROJECT_SOURCE_DIR}/share/systemd/auburnhub-${process}.service.in
    ${PROJECT_BINARY_DIR}/systemd/auburnhub-${process}.service @ONLY)
  install(FILES ${PROJECT_BINARY_DIR}/systemd/auburnhub-${process}.service
    DESTINATION ${AUBURNHUB_UNIT_DIR})
endforeach()
